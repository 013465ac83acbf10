#include "Place/engine_model_tracker.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;
constexpr milliseconds maxReportLag { 350 };

engine_config engineConfig()
{
    engine_config config;
    config.weightMemoryMb = 230000;
    config.adapterSlots = 2;
    for (const char* name : { "m1", "m2", "m3", "m4" }) {
        model_config model;
        model.name = name;
        model.weightsMb = 72000;
        model.adapterCount = 4;
        model.adapterMb = 60;
        config.models.push_back(model);
    }
    return config;
}

loaded_models_report reportOf(std::uint64_t orders, std::vector<loaded_model> models, bool isBusy = false)
{
    loaded_models_report report;
    report.acceptedOrders = orders;
    report.isBusy = isBusy;
    report.models = std::move(models);
    return report;
}

model_order loadOf(const std::string& model, const std::string& adapter, std::uint64_t expected)
{
    return { model_order::action::Load, model, adapter, "g", 1, expected };
}

engine_model_tracker trackerWith(const loaded_models_report& report)
{
    engine_model_tracker tracker("u", std::make_shared<const engine_config>(engineConfig()));
    CHECK(tracker.needsReport(start));
    CHECK_FALSE(tracker.maySendOrders());
    tracker.onReport(report, start, start);
    return tracker;
}

} // namespace

TEST_CASE("engine model tracker: accepted orders are counted at once, because reports lag behind")
{
    auto tracker = trackerWith(reportOf(5, { { "m1", {} } }));
    REQUIRE(tracker.maySendOrders());
    CHECK(tracker.expectedOrders() == 5);
    tracker.onOrderSent(loadOf("m1", "a1", 5), start);
    CHECK_FALSE(tracker.maySendOrders());
    tracker.onOrderAnswered(202, start + milliseconds(3));
    REQUIRE(tracker.maySendOrders());
    CHECK(tracker.expectedOrders() == 6);
    // A report that was made before the order does not lower the number.
    tracker.onReport(reportOf(5, { { "m1", {} } }), start + milliseconds(50), start + milliseconds(52));
    CHECK(tracker.expectedOrders() == 6);
}

TEST_CASE("engine model tracker: an adapter counts as loaded after the time that loading takes")
{
    auto tracker = trackerWith(reportOf(0, { { "m1", {} } }));
    tracker.onOrderSent(loadOf("m1", "a1", 0), start);
    tracker.onOrderAnswered(202, start);
    CHECK(tracker.mayBeLoaded("m1/a1"));
    CHECK_FALSE(tracker.hasLoaded("m1/a1"));
    CHECK_FALSE(tracker.completeAdapterLoads(start + milliseconds(20)));
    CHECK(tracker.completeAdapterLoads(start + milliseconds(60)));
    CHECK(tracker.hasLoaded("m1/a1"));
    CHECK(tracker.freeAdapterSlots() == 1);
}

TEST_CASE("engine model tracker: a model that is being loaded counts, although reports do not name it")
{
    auto tracker = trackerWith(reportOf(0, { { "m1", {} }, { "m2", {} } }));
    tracker.onOrderSent(loadOf("m3", "", 0), start);
    tracker.onOrderAnswered(202, start);
    CHECK_FALSE(tracker.maySendOrders());
    tracker.onReport(
        reportOf(1, { { "m1", {} }, { "m2", {} } }, true), start + seconds(1), start + seconds(1));
    CHECK(tracker.mayBeLoaded("m3"));
    CHECK_FALSE(tracker.hasLoaded("m3"));
    CHECK(tracker.freeWeightMemoryMb() < 20000);
    tracker.onReport(
        reportOf(1, { { "m1", {} }, { "m2", {} }, { "m3", {} } }), start + seconds(9), start + seconds(9));
    CHECK(tracker.hasLoaded("m3"));
    CHECK(tracker.maySendOrders());
}

TEST_CASE("engine model tracker: an unanswered load keeps its slot until the engine accepts a later order")
{
    auto tracker = trackerWith(reportOf(3, { { "m1", {} } }));
    tracker.onOrderSent(loadOf("m1", "a1", 3), start);
    tracker.onOrderAnswered(std::nullopt, start + seconds(1));
    CHECK_FALSE(tracker.maySendOrders());
    // The report lacks the adapter, but the order may still be carried out.
    const auto later = start + seconds(1) + maxReportLag;
    tracker.onReport(reportOf(3, { { "m1", {} } }), later, later);
    CHECK(tracker.mayBeLoaded("m1/a1"));
    CHECK(tracker.freeAdapterSlots() == 1);
    tracker.onOrderSent(loadOf("m1", "a2", 3), later);
    tracker.onOrderAnswered(202, later);
    CHECK_FALSE(tracker.mayBeLoaded("m1/a1"));
    CHECK(tracker.freeAdapterSlots() == 1);
}

TEST_CASE(
    "engine model tracker: an adapter slot is taken from the order to load until the unload is carried out")
{
    auto tracker = trackerWith(reportOf(0, { { "m1", { "a1" } } }));
    CHECK(tracker.freeAdapterSlots() == 1);
    tracker.onOrderSent(loadOf("m1", "a2", 0), start);
    tracker.onOrderAnswered(202, start);
    CHECK(tracker.freeAdapterSlots() == 0);
    model_order unload = loadOf("m1", "a1", 1);
    unload.what = model_order::action::Unload;
    tracker.onOrderSent(unload, start + milliseconds(5));
    CHECK_FALSE(tracker.hasLoaded("m1/a1"));
    CHECK(tracker.freeAdapterSlots() == 0);
    // 202: the adapter is unloaded only when the request that uses it ends.
    tracker.onOrderAnswered(202, start + milliseconds(6));
    CHECK(tracker.freeAdapterSlots() == 0);
}

TEST_CASE("engine model tracker: an adapter that was unloaded at once frees its slot")
{
    auto tracker = trackerWith(reportOf(0, { { "m1", { "a1", "a2" } } }));
    model_order unload = loadOf("m1", "a1", 0);
    unload.what = model_order::action::Unload;
    tracker.onOrderSent(unload, start);
    tracker.onOrderAnswered(200, start);
    CHECK(tracker.freeAdapterSlots() == 1);
}

TEST_CASE("engine model tracker: after a rejected order none is sent until a report states the number of "
          "accepted ones")
{
    auto tracker = trackerWith(reportOf(0, { { "m1", {} } }));
    tracker.onOrderSent(loadOf("m1", "a1", 0), start);
    tracker.onOrderAnswered(409, start);
    CHECK_FALSE(tracker.maySendOrders());
    CHECK_FALSE(tracker.needsReport(start + milliseconds(100)));
    CHECK(tracker.needsReport(start + maxReportLag));
    tracker.onReport(reportOf(4, { { "m1", {} } }), start + maxReportLag, start + maxReportLag);
    CHECK(tracker.maySendOrders());
    CHECK(tracker.expectedOrders() == 4);
}
