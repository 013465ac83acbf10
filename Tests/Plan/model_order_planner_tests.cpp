#include "Plan/model_order_planner.h"
#include "Support/test_time.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

engine_config configOf(int models, int adapters)
{
    engine_config config;
    config.weightMemoryMb = 150000;
    config.adapterSlots = 2;
    config.loadsPerSecond = 1;
    for (int index = 0; index < models; ++index) {
        model_config model;
        model.name = "m" + std::to_string(index);
        model.weightsMb = 70000;
        model.adapterCount = index == 0 ? adapters : 0;
        config.models.push_back(model);
    }
    return config;
}

/// A planner with engines, each of which has room for two models.
struct planner_fixture {
    engine_config config;
    std::deque<engine_model_tracker> trackers;
    std::vector<engine_planning_input> engines;
    demand_meter demand;
    model_order_planner planner { 1 };

    explicit planner_fixture(engine_config value)
        : config(std::move(value))
    {
    }

    /// Adds an engine that has these models loaded.
    void addEngine(const std::vector<std::string>& models, int inFlight = 0,
        const std::vector<std::string>& hostCached = {})
    {
        loaded_models_report report;
        for (const auto& model : models)
            report.models.push_back({ model, {} });
        report.hostCached = hostCached;
        trackers.emplace_back(
            "u" + std::to_string(trackers.size()), std::make_shared<const engine_config>(config));
        trackers.back().onReport(report, start, start);
        engines.push_back({ &trackers.back(), "z", false, inFlight, 64 });
    }

    std::vector<planned_model_order> plan()
    {
        // An earlier pass without engines lets the allowance of loads fill up.
        planner.plan({}, config, demand, start - seconds(10));
        return planner.plan(engines, config, demand, start);
    }

    void request(const std::string& model, double requests) { demand.onRequests(model, requests, 0, start); }
};

bool hasOrder(
    const std::vector<planned_model_order>& orders, model_order::action what, const std::string& model)
{
    return std::any_of(orders.begin(), orders.end(), [&](const planned_model_order& order) {
        return order.what == what && order.model == model && order.adapter.empty();
    });
}

} // namespace

TEST_CASE("model order planner: a model that no engine has loaded is loaded where there is room")
{
    planner_fixture it(configOf(3, 0));
    it.addEngine({ "m0", "m1" });
    it.addEngine({ "m1" });
    const auto orders = it.plan();
    CHECK(orders == std::vector<planned_model_order> { { "u1", model_order::action::Load, "m2", "" } });
}

TEST_CASE("model order planner: without room, a copy that is not needed for the demand is unloaded")
{
    planner_fixture it(configOf(4, 0));
    it.addEngine({ "m0", "m1" });
    it.addEngine({ "m0", "m2" });
    it.request("m3", 1);
    const auto orders = it.plan();
    REQUIRE(orders.size() == 1);
    CHECK(orders.at(0).what == model_order::action::Unload);
    CHECK(orders.at(0).model == "m0");
}

TEST_CASE("model order planner: the last copy of a model is never unloaded")
{
    planner_fixture it(configOf(5, 0));
    it.addEngine({ "m0", "m1" });
    it.addEngine({ "m2", "m3" });
    it.request("m4", 50);
    CHECK(it.plan().empty());
}

TEST_CASE("model order planner: a model with one copy that gets all the demand is loaded further at the cost "
          "of the one without requests")
{
    planner_fixture it(configOf(2, 0));
    it.addEngine({ "m0", "m1" });
    for (int engine = 0; engine < 5; ++engine)
        it.addEngine({ "m0" });
    it.request("m1", 200);
    const auto orders = it.plan();
    // As many loads as can be saved up at the weight store's rate, all of the requested model.
    CHECK(std::count_if(orders.begin(), orders.end(), [](const planned_model_order& order) {
        return order.what == model_order::action::Load && order.model == "m1";
    }) == 2);
    CHECK_FALSE(hasOrder(orders, model_order::action::Unload, "m1"));
}

TEST_CASE(
    "model order planner: host-cached weights are loaded first, and without an allowance of the weight store")
{
    planner_fixture it(configOf(2, 0));
    it.addEngine({ "m0", "m1" });
    it.addEngine({ "m0" });
    it.addEngine({ "m0" }, 30, { "m1" });
    it.request("m1", 100);
    const auto orders = it.planner.plan(it.engines, it.config, it.demand, start);
    CHECK(orders == std::vector<planned_model_order> { { "u2", model_order::action::Load, "m1", "" } });
}

TEST_CASE("model order planner: host-cached weights are preferred to the weight store, even if a copy must "
          "be unloaded there first")
{
    // Demand shifts to m1. A load from the weight store takes 9 s, one of host-cached weights 1 or 2 s.
    planner_fixture it(configOf(3, 0));
    it.addEngine({ "m0", "m1" });
    it.addEngine({ "m0" });
    it.addEngine({ "m0", "m2" }, 0, { "m1" });
    it.request("m1", 100);
    const auto orders = it.plan();
    CHECK(hasOrder(orders, model_order::action::Unload, "m0"));
    CHECK_FALSE(hasOrder(orders, model_order::action::Load, "m1"));
}

TEST_CASE("model order planner: demand for several models at once never unloads all copies of another one")
{
    planner_fixture it(configOf(4, 0));
    it.addEngine({ "m0", "m1" });
    it.addEngine({ "m0", "m2" });
    it.request("m1", 40);
    it.request("m2", 40);
    it.request("m3", 40);
    const auto orders = it.plan();
    CHECK(std::count(orders.begin(), orders.end(),
              planned_model_order { "u0", model_order::action::Unload, "m0", "" })
            + std::count(orders.begin(), orders.end(),
                planned_model_order { "u1", model_order::action::Unload, "m0", "" })
        == 1);
}

TEST_CASE("model order planner: models are loaded ahead of demand on further engines, on few at once")
{
    planner_fixture it(configOf(3, 0));
    for (int engine = 0; engine < 12; ++engine)
        it.addEngine(
            engine == 0 ? std::vector<std::string> { "m0", "m1" } : std::vector<std::string> { "m0" });
    it.addEngine({ "m0", "m2" });
    it.addEngine({ "m0", "m2" });
    it.request("m0", 1);
    auto orders = it.plan();
    // m1 is loaded on one engine only, m2 on two.
    REQUIRE(std::count_if(orders.begin(), orders.end(), [](const planned_model_order& order) {
        return order.what == model_order::action::Load;
    }) == 1);
    CHECK(hasOrder(orders, model_order::action::Load, "m1"));
    // Two engines are loading, the most that may do so ahead of demand, since they accept no orders for
    // adapters.
    for (const std::size_t loading : { 1U, 2U }) {
        it.trackers.at(loading).onOrderSent({ model_order::action::Load, "m1", "", "h", 1, 0 }, start);
        it.trackers.at(loading).onOrderAnswered(202, start);
    }
    orders = it.plan();
    CHECK_FALSE(hasOrder(orders, model_order::action::Load, "m2"));
}

TEST_CASE(
    "model order planner: before there is any demand no copy is unloaded for a model that is loaded already")
{
    // At the start the engines may have many copies of the models that will be requested first.
    planner_fixture it(configOf(3, 0));
    it.addEngine({ "m0", "m1" });
    it.addEngine({ "m0", "m2" });
    it.addEngine({ "m0", "m2" });
    CHECK(it.plan().empty());
    it.request("m0", 1);
    CHECK_FALSE(it.plan().empty());
}

TEST_CASE("model order planner: loads keep to the weight store's rate")
{
    model_order_planner planner(1);
    const engine_config config = configOf(40, 0);
    const demand_meter demand;
    int loads = 0;
    for (int step = 0; step < 200; ++step) {
        const monotonic_time now = start + milliseconds(50 * step);
        std::deque<engine_model_tracker> trackers;
        std::vector<engine_planning_input> engines;
        for (int engine = 0; engine < 10; ++engine) {
            trackers.emplace_back(
                "u" + std::to_string(engine), std::make_shared<const engine_config>(config));
            trackers.back().onReport({}, now, now);
            engines.push_back({ &trackers.back(), "z", false, 0, 64 });
        }
        for (const auto& order : planner.plan(engines, config, demand, now)) {
            REQUIRE(order.what == model_order::action::Load);
            planner.onModelOrdered(now);
            ++loads;
        }
    }
    // Ten seconds at one load per second, plus the loads that were saved up.
    CHECK(loads <= 13);
    CHECK(loads >= 6);
}

TEST_CASE(
    "model order planner: adapters are loaded into free slots, and a requested one replaces an idle one")
{
    planner_fixture it(configOf(1, 3));
    it.addEngine({ "m0" });
    auto orders = it.plan();
    REQUIRE(orders.size() == 1);
    CHECK(orders.at(0).adapter == "a1");

    planner_fixture full(configOf(1, 3));
    loaded_models_report report;
    report.models = { { "m0", { "a1", "a2" } } };
    full.trackers.emplace_back("u0", std::make_shared<const engine_config>(full.config));
    full.trackers.back().onReport(report, start, start);
    full.engines.push_back({ &full.trackers.back(), "z", false, 0, 64 });
    CHECK(full.plan().empty());
    full.demand.onRequests("m0/a2", 5, 0, start);
    full.demand.onRequests("m0/a3", 1, 1, start);
    orders = full.planner.plan(full.engines, full.config, full.demand, start);
    REQUIRE(orders.size() == 1);
    CHECK(orders.at(0) == planned_model_order { "u0", model_order::action::Unload, "m0", "a1" });
}

TEST_CASE("model order planner: an adapter gets as many copies as its requests need, not one on each engine")
{
    for (const int engines : { 4, 40, 300 }) {
        planner_fixture it(configOf(1, 3));
        for (int engine = 0; engine < engines; ++engine)
            it.addEngine({ "m0" });
        // Three requests in two seconds, with at most 0.3 per second for each copy, need five copies. The
        // other two adapters are loaded once, ahead of demand.
        it.demand.onRequests("m0/a2", 3, 0, start);
        const auto orders = it.plan();
        const auto copies = std::count_if(orders.begin(), orders.end(), [](const planned_model_order& order) {
            return order.what == model_order::action::Load && order.adapter == "a2";
        });
        CHECK(copies == std::min(engines - 2, 5));
        CHECK(std::ssize(orders) == copies + 2);
    }
}

TEST_CASE(
    "model order planner: further copies of an adapter are loaded on the engines with the fewest requests")
{
    planner_fixture it(configOf(1, 3));
    for (int engine = 0; engine < 12; ++engine) {
        it.addEngine({ "m0" });
        it.engines.back().inFlight = 12 - engine;
    }
    it.demand.onRequests("m0/a1", 1, 0, start);
    const auto orders = it.plan();
    std::vector<std::string> upstreams;
    for (const auto& order : orders) {
        if (order.adapter == "a1")
            upstreams.push_back(order.upstream);
    }
    // The other two adapters are loaded on the engines between.
    CHECK(upstreams == std::vector<std::string> { "u11", "u8" });
}

TEST_CASE("model order planner: a draining engine gets no order and its copies do not count")
{
    planner_fixture it(configOf(1, 0));
    it.addEngine({ "m0" });
    it.engines.back().isDraining = true;
    it.addEngine({});
    const auto orders = it.plan();
    CHECK(orders == std::vector<planned_model_order> { { "u1", model_order::action::Load, "m0", "" } });
}

namespace {

/// \return processor time of a planning pass for this number of engines and models, in seconds.
double passSeconds(int engines, int models)
{
    constexpr int passes = 40;
    engine_config config = configOf(models, 0);
    config.weightMemoryMb = 230000;
    for (auto& model : config.models)
        model.adapterCount = 3;
    planner_fixture it(config);
    for (int engine = 0; engine < engines; ++engine) {
        std::vector<std::string> loaded;
        loaded.reserve(3);
        for (int place = 0; place < 3; ++place)
            loaded.push_back("m" + std::to_string((engine * 3 + place) % models));
        it.addEngine(loaded, engine % 16);
    }
    for (int model = 0; model < models; ++model) {
        it.request("m" + std::to_string(model), 1 + model % 40);
        it.demand.onRequests("m" + std::to_string(model) + "/a1", 1, model % 7 == 0 ? 1 : 0, start);
    }
    const auto startedAt = std::clock();
    for (int pass = 0; pass < passes; ++pass)
        it.planner.plan(it.engines, it.config, it.demand, start + milliseconds(50 * pass));
    return static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC / passes;
}

} // namespace

TEST_CASE(
    "model order planner: a pass over hundreds of engines and models takes a small part of the interval")
{
    // A pass that examines each model for each engine takes at least sixteen times as long for four times as
    // many engines and models.
    const double small = passSeconds(40, 66);
    const double large = passSeconds(160, 264);
    CHECK(large < 14 * small);
#ifdef NDEBUG
    // In optimized code, a fifth of the interval of 50 ms is enough even on a slow machine.
    CHECK(large < 0.01);
#endif
}

TEST_CASE("model order planner: the only copy that serves is not unloaded while others are being loaded")
{
    // Demand shifted to m0: four engines are loading it, which takes seconds, and one has it.
    planner_fixture it(configOf(7, 0));
    it.addEngine({ "m0", "m1" });
    for (int engine = 0; engine < 4; ++engine) {
        it.addEngine({ "m" + std::to_string(3 + engine) });
        it.trackers.back().onOrderSent({ model_order::action::Load, "m0", "", "h", 1, 0 }, start);
        it.trackers.back().onOrderAnswered(202, start);
    }
    it.request("m0", 4);
    it.request("m2", 4);
    CHECK_FALSE(hasOrder(it.plan(), model_order::action::Unload, "m0"));
}
