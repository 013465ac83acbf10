#include "Place/order_planner.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr milliseconds plannerSettlingTime { 1000 };
using testing::start;
const monotonic_time now = start + seconds(100);

side_view viewOf(std::vector<placement> placements)
{
    side_view view;
    view.upstream.name = "up-1";
    view.upstream.memoryMb = 1000;
    for (const std::string name : { "a", "b", "c" })
        view.models[name] = { name, 400, "" };
    view.models["a-tuned"] = { "a-tuned", 10, "a" };
    view.placements = std::move(placements);
    return view;
}

memory_ledger ledgerWith(const std::vector<std::string>& loaded)
{
    memory_ledger ledger({ false, plannerSettlingTime, "run" }, start);
    ledger.setTotal(1000);
    engine_report report { 1, milliseconds(0), 1000, 0, {}, {} };
    for (const std::string& name : loaded) {
        report.models[name] = { name == "a-tuned" ? 10U : 400U, resident_state::Loaded };
        report.usedMb += report.models[name].memoryMb;
    }
    ledger.onReport(report, start + plannerSettlingTime);
    return ledger;
}

planned_order loadOf(const std::string& name, std::uint64_t size = 400)
{
    return { order_action::Load, name, size };
}

planned_order unloadOf(const std::string& name)
{
    return { order_action::Unload, name, 400 };
}

using orders = std::vector<planned_order>;

} // namespace

TEST_CASE("order planner: pinned models are loaded before requested ones, and these before other placements")
{
    const side_view view = viewOf({ { "a", "up-1", false }, { "c", "up-1", true } });
    const demand_table demand { { "b", { 1, now } } };
    CHECK(planOrders(view, ledgerWith({}), demand, now) == orders { loadOf("c"), loadOf("b") });
}

TEST_CASE("order planner: no other model gets the memory of a pinned model that is not loaded yet")
{
    const side_view view = viewOf({ { "c", "up-1", true } });
    memory_ledger ledger = ledgerWith({ "a" });
    const demand_table demand { { "a", { 1, now } }, { "b", { 1, now } } };
    CHECK(planOrders(view, ledger, demand, now) == orders { loadOf("c") });
}

TEST_CASE(
    "order planner: the least recently requested idle model is evicted, never one that is pinned or in use")
{
    const side_view view = viewOf({});
    const demand_table idle { { "a", { 0, now - seconds(30) } }, { "b", { 0, now - seconds(20) } },
        { "c", { 1, now } } };
    CHECK(planOrders(view, ledgerWith({ "a", "b" }), idle, now) == orders { unloadOf("a") });
    const demand_table used { { "a", { 1, now - seconds(30) } }, { "b", { 0, now - seconds(20) } },
        { "c", { 1, now } } };
    CHECK(planOrders(view, ledgerWith({ "a", "b" }), used, now) == orders { unloadOf("b") });
    const side_view pinned = viewOf({ { "a", "up-1", true }, { "b", "up-1", true } });
    CHECK(planOrders(pinned, ledgerWith({ "a", "b" }), idle, now).empty());
    CHECK_FALSE(fitsBesidePins(pinned, "c", 1000));
    CHECK(fitsBesidePins(view, "c", 1000));
}

TEST_CASE(
    "order planner: an adapter is loaded after its base, which is not evicted while the adapter is loaded")
{
    const side_view view = viewOf({});
    const demand_table demand { { "a-tuned", { 1, now } } };
    CHECK(planOrders(view, ledgerWith({}), demand, now) == orders { loadOf("a") });
    CHECK(planOrders(view, ledgerWith({ "a" }), demand, now) == orders { loadOf("a-tuned", 10) });
    const demand_table other { { "b", { 1, now } }, { "c", { 1, now } } };
    CHECK(planOrders(view, ledgerWith({ "a", "a-tuned", "b" }), other, now).empty());
}

TEST_CASE("order planner: nothing is evicted while an unload already makes enough room")
{
    const side_view view = viewOf({});
    memory_ledger ledger = ledgerWith({ "a", "b" });
    REQUIRE(ledger.orderUnload("a"));
    const demand_table demand { { "c", { 1, now } } };
    CHECK(planOrders(view, ledger, demand, now).empty());
}

TEST_CASE(
    "order planner: room for a model can be made only beside models that are pinned, in use or waited for")
{
    const side_view view = viewOf({});
    const auto fits
        = [&](const std::vector<std::string>& loaded, const demand_table& demand, const std::string& model) {
              return canMakeRoomFor(view, ledgerWith(loaded), demand, model, now);
          };
    CHECK(fits({ "a" }, {}, "b"));
    CHECK(fits({ "a", "b" }, { { "a", { 1, now } }, { "b", { 0, now } } }, "c"));
    const demand_table bothUsed { { "a", { 1, now } }, { "b", { 1, now } } };
    CHECK_FALSE(fits({ "a", "b" }, bothUsed, "c"));
    CHECK(fits({ "a", "b" }, bothUsed, "a"));
    CHECK_FALSE(fits({ "b" }, { { "b", { 1, now } }, { "c", { 1, now } } }, "a-tuned"));
    CHECK(fits({ "a" }, { { "b", { 1, now } } }, "a-tuned"));
    const side_view pinned = viewOf({ { "a", "up-1", true }, { "b", "up-1", true } });
    CHECK_FALSE(canMakeRoomFor(pinned, ledgerWith({}), {}, "c", now));
}

TEST_CASE("order planner: of the models in steady use only the least recently requested is drained for a "
          "pinned one")
{
    const side_view view = viewOf({ { "c", "up-1", true } });
    const demand_table demand { { "a", { 1, now - seconds(1) } }, { "b", { 1, now } } };
    const auto drains
        = [&](const side_view& seen, const std::vector<std::string>& loaded, const std::string& model) {
              return mustDrainForPin(seen, ledgerWith(loaded), demand, model, now);
          };
    CHECK(drains(view, { "a", "b" }, "a"));
    CHECK_FALSE(drains(view, { "a", "b" }, "b"));
    CHECK_FALSE(drains(view, { "a" }, "a"));
    CHECK_FALSE(drains(view, { "a", "c" }, "a"));
    CHECK_FALSE(drains(viewOf({}), { "a", "b" }, "a"));
    CHECK_FALSE(drains(viewOf({ { "a", "up-1", true }, { "c", "up-1", true } }), { "a", "b" }, "a"));
}
