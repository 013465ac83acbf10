#include "Place/memory_ledger.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr milliseconds ledgerSettlingTime { 1000 };
using testing::start;

engine_report reportOf(std::uint64_t sequence, std::map<std::string, resident_model> models = {},
    std::map<std::string, order_outcome> orders = {})
{
    engine_report report { sequence, milliseconds(0), 1000, 0, std::move(models), std::move(orders) };
    for (const auto& [name, model] : report.models)
        report.usedMb += model.memoryMb;
    return report;
}

memory_ledger openLedger()
{
    memory_ledger ledger({ false, ledgerSettlingTime, "run" }, start);
    ledger.onReport(reportOf(0), start + ledgerSettlingTime);
    REQUIRE(ledger.phase() == ledger_phase::Open);
    return ledger;
}

} // namespace

TEST_CASE(
    "memory ledger: without fencing, no order is allowed until orders of an earlier process have settled")
{
    memory_ledger ledger({ false, ledgerSettlingTime, "run" }, start);
    ledger.onReport(reportOf(5), start + ledgerSettlingTime - milliseconds(1));
    CHECK(ledger.phase() == ledger_phase::Settling);
    CHECK_FALSE(ledger.reserveLoad("a", 1));
    engine_report late = reportOf(5);
    late.age = milliseconds(10);
    ledger.onReport(late, start + ledgerSettlingTime + milliseconds(5));
    CHECK(ledger.phase() == ledger_phase::Settling);
    ledger.onReport(reportOf(5), start + ledgerSettlingTime + milliseconds(5));
    CHECK(ledger.phase() == ledger_phase::Open);
    CHECK(ledger.freeMb() == 1000);
}

TEST_CASE(
    "memory ledger: an engine that checks fencing must accept the token before any other order is allowed")
{
    memory_ledger ledger({ true, ledgerSettlingTime, "run" }, start);
    ledger.onReport(reportOf(5), start + ledgerSettlingTime * 2);
    CHECK(ledger.phase() == ledger_phase::NoFence);
    ledger.setFence(17);
    const auto orders = ledger.takeOrdersToSend(start);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].fence == 17);
    CHECK(orders[0].action == order_action::Unload);
    ledger.onReply(orders[0].id, order_reply::Accepted, 6);
    CHECK(ledger.phase() == ledger_phase::Settling);
    ledger.onReport(reportOf(6, {}, { { "an earlier process's", order_outcome::Running } }), start);
    CHECK(ledger.phase() == ledger_phase::Settling);
    ledger.onReport(reportOf(7), start);
    CHECK(ledger.phase() == ledger_phase::Open);
}

TEST_CASE("memory ledger: a reservation holds until a newer report shows the order settled")
{
    memory_ledger ledger = openLedger();
    const auto order = ledger.reserveLoad("a", 600);
    REQUIRE(order);
    CHECK(ledger.freeMb() == 400);
    CHECK_FALSE(ledger.reserveLoad("b", 401));
    ledger.onReply(order->id, order_reply::Accepted, 3);
    ledger.onReport(reportOf(2), start + ledgerSettlingTime);
    CHECK(ledger.freeMb() == 400);
    ledger.onReport(
        reportOf(3, { { "a", { 600, resident_state::Loading } } }, { { order->id, order_outcome::Running } }),
        start + ledgerSettlingTime);
    CHECK(ledger.freeMb() == 400);
    ledger.onReport(reportOf(4, {}, { { order->id, order_outcome::Settled } }), start + ledgerSettlingTime);
    CHECK(ledger.freeMb() == 1000);
}

TEST_CASE("memory ledger: an order whose reply was lost is sent again under its id and stays reserved")
{
    memory_ledger ledger = openLedger();
    const auto order = ledger.reserveLoad("a", 600);
    REQUIRE(ledger.takeOrdersToSend(start).size() == 1);
    ledger.onReply(order->id, order_reply::Lost, 0);
    const auto again = ledger.takeOrdersToSend(start + seconds(1));
    REQUIRE(again.size() == 1);
    CHECK(again[0] == *order);
    ledger.onReply(order->id, order_reply::NoMemory, 0);
    CHECK(ledger.freeMb() == 400);
    ledger.onReport(reportOf(9), start + ledgerSettlingTime);
    CHECK(ledger.freeMb() == 400);
}

TEST_CASE("memory ledger: a rejection of the only copy of an order releases the memory at once")
{
    memory_ledger ledger = openLedger();
    const auto order = ledger.reserveLoad("a", 600);
    ledger.takeOrdersToSend(start);
    ledger.onReply(order->id, order_reply::NoMemory, 0);
    CHECK(ledger.freeMb() == 1000);
}

TEST_CASE("memory ledger: an unload frees memory only when a report shows that the model is gone")
{
    memory_ledger ledger = openLedger();
    ledger.onReport(reportOf(1, { { "a", { 600, resident_state::Loaded } } }), start + ledgerSettlingTime);
    const auto order = ledger.orderUnload("a");
    REQUIRE(order);
    CHECK_FALSE(ledger.isUsable("a"));
    ledger.onReply(order->id, order_reply::Accepted, 2);
    CHECK(ledger.freeMb() == 400);
    ledger.onReport(reportOf(2, { { "a", { 600, resident_state::Unloading } } },
                        { { order->id, order_outcome::Running } }),
        start + ledgerSettlingTime);
    CHECK(ledger.freeMb() == 400);
    ledger.onReport(reportOf(3, {}, { { order->id, order_outcome::Settled } }), start + ledgerSettlingTime);
    CHECK(ledger.freeMb() == 1000);
}

TEST_CASE("memory ledger: a process that is fenced off sends no more orders")
{
    memory_ledger ledger = openLedger();
    const auto order = ledger.reserveLoad("a", 600);
    ledger.onReply(order->id, order_reply::Fenced, 0);
    CHECK(ledger.phase() == ledger_phase::FencedOff);
    CHECK_FALSE(ledger.reserveLoad("a", 1));
    CHECK(ledger.takeOrdersToSend(start + seconds(9)).empty());
}

TEST_CASE("memory ledger: an older report is ignored, that of a restarted engine is used")
{
    memory_ledger ledger = openLedger();
    ledger.onReport(reportOf(9, { { "a", { 600, resident_state::Loaded } } }), start + ledgerSettlingTime);
    ledger.onReport(reportOf(1), start + ledgerSettlingTime);
    CHECK(ledger.freeMb() == 400);
    engine_report lagging = reportOf(1);
    lagging.age = ledgerSettlingTime * 2;
    ledger.onReport(lagging, start + ledgerSettlingTime * 3);
    CHECK(ledger.freeMb() == 400);
    ledger.onReport(reportOf(1), start + ledgerSettlingTime * 3);
    CHECK(ledger.freeMb() == 1000);
}

TEST_CASE("memory ledger: the first offset of the log, 0, is a valid fencing token")
{
    memory_ledger ledger({ true, ledgerSettlingTime, "run" }, start);
    ledger.setFence(0);
    const auto orders = ledger.takeOrdersToSend(start);
    REQUIRE(orders.size() == 1);
    ledger.onReply(orders[0].id, order_reply::Accepted, 1);
    ledger.onReport(reportOf(1), start);
    CHECK(ledger.phase() == ledger_phase::Open);
}

TEST_CASE("memory ledger: a report older than the order never settles it, whatever models it lists")
{
    memory_ledger ledger = openLedger();
    const auto order = ledger.reserveLoad("a", 600);
    ledger.takeOrdersToSend(start);
    ledger.onReply(order->id, order_reply::Accepted, 5);
    ledger.onReport(reportOf(4, { { "a", { 100, resident_state::Loaded } } }), start + ledgerSettlingTime);
    CHECK(ledger.ordersOutstanding() == 1);
    CHECK(ledger.freeMb() == 400);
    ledger.onReport(reportOf(5, { { "a", { 600, resident_state::Loaded } } }), start + ledgerSettlingTime);
    CHECK(ledger.ordersOutstanding() == 0);
    CHECK(ledger.freeMb() == 400);
}

TEST_CASE("memory ledger: without fencing, an order of a later process ends the orders of this one for good")
{
    memory_ledger ledger({ false, ledgerSettlingTime, "run" }, start);
    const std::map<std::string, order_outcome> earlier { { "before-1", order_outcome::Settled } };
    ledger.onReport(reportOf(1, {}, earlier), start + ledgerSettlingTime);
    REQUIRE(ledger.reserveLoad("a", 100));
    ledger.onReport(reportOf(2, {}, { { "run-1", order_outcome::Running } }), start + ledgerSettlingTime);
    CHECK(ledger.phase() == ledger_phase::Open);
    ledger.onReport(reportOf(3, {}, earlier), start + ledgerSettlingTime);
    CHECK(ledger.phase() == ledger_phase::Open);
    ledger.onReport(reportOf(4, {}, { { "after-1", order_outcome::Settled } }), start + ledgerSettlingTime);
    CHECK(ledger.phase() == ledger_phase::FencedOff);
    CHECK(ledger.takeOrdersToSend(start + ledgerSettlingTime).empty());
}

TEST_CASE(
    "memory ledger: after a pause nothing is sent before a new report, unless the engine checks fencing")
{
    memory_ledger ledger = openLedger();
    REQUIRE(ledger.reserveLoad("a", 100));
    CHECK(ledger.takeOrdersToSend(start + ledgerSettlingTime * 2).empty());
    ledger.onReport(reportOf(0), start + ledgerSettlingTime * 2);
    CHECK(ledger.takeOrdersToSend(start + ledgerSettlingTime * 2).size() == 1);
    memory_ledger fenced({ true, ledgerSettlingTime, "run" }, start);
    fenced.setFence(1);
    CHECK(fenced.maySend(start + ledgerSettlingTime * 2));
}
