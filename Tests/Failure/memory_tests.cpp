#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <future>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// Room for two models of 100 MB, not for three.
constexpr std::uint64_t tightMemoryMb = 250;

fleet_options tightPlan(bool checksFencing)
{
    return { .engines = 1, .services = 0, .engineMemoryMb = tightMemoryMb, .checksFencing = checksFencing };
}

// Takes what it is ordered to, so that an order too many shows in the peak.
void trustOrders(fleet& fleet, nlohmann::json faults)
{
    faults["refuse_overcommit"] = false;
    setFaults(fleet.engine(0).listen, faults);
}

// Declares that another model takes the place of `shared`.
void swapModel(fleet& fleet, const std::string& from, const std::string& to)
{
    fleet_records& records = fleet.records();
    records.models.push_back({ to, 100, "" });
    for (placement& place : records.placements) {
        if (place.model == from)
            place.model = to;
    }
    std::erase_if(records.models, [&](const model& value) { return value.name == from; });
    REQUIRE(fleet.apply().exitCode == 0);
}

void checkServedWithinMemory(fleet& fleet, const std::string& model)
{
    http_response last;
    const bool served = until([&] {
        last = chat(fleet.entry(0).listen, "walkin", { .model = model });
        return last.status == 200;
    });
    INFO(last.body);
    CHECK(served);
    const auto stats = getJson(fleet.engine(0).listen, "/admin/stats");
    CHECK(stats.at("peak_memory_mb") <= tightMemoryMb);
    CHECK(stats.at("overcommit_orders") == 0);
}

bool isOrderRunning(fleet& fleet)
{
    const auto orders = getJson(fleet.engine(0).listen, "/control/report").at("recent_orders");
    return !orders.empty() && orders.back().at("outcome") == "running";
}

std::uint64_t overcommitsOf(fleet& fleet)
{
    return getJson(fleet.engine(0).listen, "/admin/stats").at("overcommit_orders");
}

fleet_options roomForOneMore()
{
    fleet_options plan = tightPlan(true);
    plan.engineMemoryMb += 100;
    return plan;
}

// Declares two models that nothing holds, and makes orders late.
void addColdModels(fleet& fleet, const nlohmann::json& more)
{
    for (const char* name : { "second", "third" })
        fleet.records().models.push_back({ name, 100, "" });
    REQUIRE(fleet.apply().exitCode == 0);
    nlohmann::json faults { { "delay_orders_ms", 300 }, { "report_lag_ms", 300 } };
    faults.update(more);
    trustOrders(fleet, faults);
}

std::future<bool> servedLater(fleet& fleet, const std::string& model)
{
    return std::async(std::launch::async,
        [&fleet, model] { return chat(fleet.entry(0).listen, "walkin", { .model = model }).status == 200; });
}

} // namespace

TEST_CASE("memory: orders that are lost, late or unanswered never overcommit an engine")
{
    for (const bool checksFencing : { true, false }) {
        fleet fleet(tightPlan(checksFencing));
        trustOrders(fleet,
            { { "lose_orders", 1 }, { "lose_order_answers", 2 }, { "delay_orders_ms", 300 },
                { "report_lag_ms", 300 } });
        swapModel(fleet, "shared", "second");
        checkServedWithinMemory(fleet, "second");
    }
}

TEST_CASE("memory: a side killed while an order is under way never overcommits its engine")
{
    for (const bool checksFencing : { true, false }) {
        fleet fleet(tightPlan(checksFencing));
        trustOrders(fleet, { { "delay_orders_ms", 500 }, { "report_lag_ms", 300 } });
        swapModel(fleet, "shared", "second");
        REQUIRE(until([&] { return isOrderRunning(fleet); }));
        fleet.engineSide(0).process->kill();
        fleet.restart(fleet.engineSide(0));
        checkServedWithinMemory(fleet, "second");
    }
}

TEST_CASE("memory: of two cold models asked for at once, with room for one, only one is loaded")
{
    fleet fleet(roomForOneMore());
    addColdModels(fleet, { { "lose_orders", 1 }, { "lose_order_answers", 2 } });
    CHECK(until([&] {
        auto second = servedLater(fleet, "second");
        auto third = servedLater(fleet, "third");
        const bool secondServed = second.get();
        return third.get() || secondServed;
    }));
    CHECK(overcommitsOf(fleet) == 0);
}

TEST_CASE("memory: a side killed while a cold load is under way leaves the load its room")
{
    fleet fleet(roomForOneMore());
    // Long enough that the next process is asked for another model while the order is under way.
    addColdModels(fleet, { { "delay_orders_ms", 2000 } });
    auto lost = servedLater(fleet, "second");
    REQUIRE(until([&] {
        // Refused until the entry and the side know the model.
        if (lost.wait_for(milliseconds(0)) == std::future_status::ready)
            lost = servedLater(fleet, "second");
        return isOrderRunning(fleet);
    }));
    fleet.engineSide(0).process->kill();
    CHECK_FALSE(lost.get());
    fleet.restart(fleet.engineSide(0));
    // Only the third is asked for, so that no order for the second comes from the new process.
    CHECK(until([&] {
        servedLater(fleet, "third").wait();
        return !isOrderRunning(fleet);
    }));
    CHECK(overcommitsOf(fleet) == 0);
}
