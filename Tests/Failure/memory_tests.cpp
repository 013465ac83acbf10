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

fleet_options tightOptions(bool checksFencing)
{
    return { .engines = 1, .services = 0, .engineMemoryMb = tightMemoryMb, .checksFencing = checksFencing };
}

// Makes the engine accept loads beyond its memory, so that one order too many shows in its peak.
void allowOvercommit(fleet& fleet, nlohmann::json faults)
{
    faults["refuse_overcommit"] = false;
    setFaults(fleet.engine(0).listen, faults);
}

// Declares a new model in the place of another one.
void replaceModel(fleet& fleet, const std::string& from, const std::string& to)
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

fleet_options roomForOneMoreOptions()
{
    fleet_options options = tightOptions(true);
    options.engineMemoryMb += 100;
    return options;
}

// Declares two models that no engine has loaded, and delays orders and reports.
void addColdModels(fleet& fleet, const nlohmann::json& moreFaults)
{
    for (const char* name : { "second", "third" })
        fleet.records().models.push_back({ name, 100, "" });
    REQUIRE(fleet.apply().exitCode == 0);
    nlohmann::json faults { { "delay_orders_ms", 300 }, { "report_lag_ms", 300 } };
    faults.update(moreFaults);
    allowOvercommit(fleet, faults);
}

std::future<bool> startRequest(fleet& fleet, const std::string& model)
{
    return std::async(std::launch::async,
        [&fleet, model] { return chat(fleet.entry(0).listen, "walkin", { .model = model }).status == 200; });
}

} // namespace

TEST_CASE("memory: orders that are lost, late or unanswered never overcommit an engine")
{
    for (const bool checksFencing : { true, false }) {
        fleet fleet(tightOptions(checksFencing));
        allowOvercommit(fleet,
            { { "lose_orders", 1 }, { "lose_order_answers", 2 }, { "delay_orders_ms", 300 },
                { "report_lag_ms", 300 } });
        replaceModel(fleet, "shared", "second");
        checkServedWithinMemory(fleet, "second");
    }
}

TEST_CASE("memory: a side killed while an order is under way never overcommits its engine")
{
    for (const bool checksFencing : { true, false }) {
        fleet fleet(tightOptions(checksFencing));
        allowOvercommit(fleet, { { "delay_orders_ms", 500 }, { "report_lag_ms", 300 } });
        replaceModel(fleet, "shared", "second");
        REQUIRE(until([&] { return isOrderRunning(fleet); }));
        fleet.engineSide(0).process->kill();
        fleet.restart(fleet.engineSide(0));
        checkServedWithinMemory(fleet, "second");
    }
}

TEST_CASE("memory: of two cold models requested at once, with room for one, only one is loaded")
{
    fleet fleet(roomForOneMoreOptions());
    addColdModels(fleet, { { "lose_orders", 1 }, { "lose_order_answers", 2 } });
    CHECK(until([&] {
        auto second = startRequest(fleet, "second");
        auto third = startRequest(fleet, "third");
        const bool secondServed = second.get();
        return third.get() || secondServed;
    }));
    CHECK(overcommitsOf(fleet) == 0);
}

TEST_CASE("memory: a side process restarted during a load leaves the load its memory")
{
    fleet fleet(roomForOneMoreOptions());
    // Long enough that the restarted process gets a request for another model while the order is under way.
    addColdModels(fleet, { { "delay_orders_ms", 2000 } });
    auto abortedRequest = startRequest(fleet, "second");
    REQUIRE(until([&] {
        // Requests are refused until the entry and the side process know the model.
        if (abortedRequest.wait_for(milliseconds(0)) == std::future_status::ready)
            abortedRequest = startRequest(fleet, "second");
        return isOrderRunning(fleet);
    }));
    fleet.engineSide(0).process->kill();
    CHECK_FALSE(abortedRequest.get());
    fleet.restart(fleet.engineSide(0));
    // Only `third` is requested, so that the new process does not order `second`.
    CHECK(until([&] {
        startRequest(fleet, "third").wait();
        return !isOrderRunning(fleet);
    }));
    CHECK(overcommitsOf(fleet) == 0);
}
