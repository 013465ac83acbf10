#include "Place/engine_model_tracker.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;
constexpr milliseconds reportLag { 350 };

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

engine_model_tracker bookWith(const loaded_models_report& report)
{
    engine_model_tracker book("u", std::make_shared<const engine_config>(engineConfig()));
    CHECK(book.needsReport(start));
    CHECK_FALSE(book.maySendOrders());
    book.onReport(report, start, start);
    return book;
}

} // namespace

TEST_CASE("engine book: it counts its own orders, since reports lag behind them")
{
    auto book = bookWith(reportOf(5, { { "m1", {} } }));
    REQUIRE(book.maySendOrders());
    CHECK(book.expectedOrders() == 5);
    book.onOrderSent(loadOf("m1", "a1", 5), start);
    CHECK_FALSE(book.maySendOrders());
    book.onOrderAnswered(202, start + milliseconds(3));
    REQUIRE(book.maySendOrders());
    CHECK(book.expectedOrders() == 6);
    // A report from before the order does not set the count back.
    book.onReport(reportOf(5, { { "m1", {} } }), start + milliseconds(50), start + milliseconds(52));
    CHECK(book.expectedOrders() == 6);
}

TEST_CASE("engine book: an adapter counts as held once it had time to arrive")
{
    auto book = bookWith(reportOf(0, { { "m1", {} } }));
    book.onOrderSent(loadOf("m1", "a1", 0), start);
    book.onOrderAnswered(202, start);
    CHECK(book.mayBeLoaded("m1/a1"));
    CHECK_FALSE(book.hasLoaded("m1/a1"));
    CHECK_FALSE(book.completeAdapterLoads(start + milliseconds(20)));
    CHECK(book.completeAdapterLoads(start + milliseconds(60)));
    CHECK(book.hasLoaded("m1/a1"));
    CHECK(book.freeAdapterSlots() == 1);
}

TEST_CASE("engine book: a model on its way is counted, though reports do not name it")
{
    auto book = bookWith(reportOf(0, { { "m1", {} }, { "m2", {} } }));
    book.onOrderSent(loadOf("m3", "", 0), start);
    book.onOrderAnswered(202, start);
    CHECK_FALSE(book.maySendOrders());
    book.onReport(reportOf(1, { { "m1", {} }, { "m2", {} } }, true), start + seconds(1), start + seconds(1));
    CHECK(book.mayBeLoaded("m3"));
    CHECK_FALSE(book.hasLoaded("m3"));
    CHECK(book.freeWeightMemoryMb() < 20000);
    book.onReport(
        reportOf(1, { { "m1", {} }, { "m2", {} }, { "m3", {} } }), start + seconds(9), start + seconds(9));
    CHECK(book.hasLoaded("m3"));
    CHECK(book.maySendOrders());
}

TEST_CASE("engine book: a load without an answer keeps its place until a later order voids it")
{
    auto book = bookWith(reportOf(3, { { "m1", {} } }));
    book.onOrderSent(loadOf("m1", "a1", 3), start);
    book.onOrderAnswered(std::nullopt, start + seconds(1));
    CHECK_FALSE(book.maySendOrders());
    // The report shows that it was not carried out; it may still be.
    const auto later = start + seconds(1) + reportLag;
    book.onReport(reportOf(3, { { "m1", {} } }), later, later);
    CHECK(book.mayBeLoaded("m1/a1"));
    CHECK(book.freeAdapterSlots() == 1);
    book.onOrderSent(loadOf("m1", "a2", 3), later);
    book.onOrderAnswered(202, later);
    CHECK_FALSE(book.mayBeLoaded("m1/a1"));
    CHECK(book.freeAdapterSlots() == 1);
}

TEST_CASE("engine book: adapter places and memory are never ordered twice")
{
    auto book = bookWith(reportOf(0, { { "m1", { "a1" } } }));
    CHECK(book.freeAdapterSlots() == 1);
    book.onOrderSent(loadOf("m1", "a2", 0), start);
    book.onOrderAnswered(202, start);
    CHECK(book.freeAdapterSlots() == 0);
    model_order drop = loadOf("m1", "a1", 1);
    drop.what = model_order::action::Unload;
    book.onOrderSent(drop, start + milliseconds(5));
    CHECK_FALSE(book.hasLoaded("m1/a1"));
    CHECK(book.freeAdapterSlots() == 0);
    // 202: a request still uses it.
    book.onOrderAnswered(202, start + milliseconds(6));
    CHECK(book.freeAdapterSlots() == 0);
}

TEST_CASE("engine book: an adapter that was dropped at once leaves its place")
{
    auto book = bookWith(reportOf(0, { { "m1", { "a1", "a2" } } }));
    model_order drop = loadOf("m1", "a1", 0);
    drop.what = model_order::action::Unload;
    book.onOrderSent(drop, start);
    book.onOrderAnswered(200, start);
    CHECK(book.freeAdapterSlots() == 1);
}

TEST_CASE("engine book: a declined order stops orders until a report tells the count")
{
    auto book = bookWith(reportOf(0, { { "m1", {} } }));
    book.onOrderSent(loadOf("m1", "a1", 0), start);
    book.onOrderAnswered(409, start);
    CHECK_FALSE(book.maySendOrders());
    CHECK_FALSE(book.needsReport(start + milliseconds(100)));
    CHECK(book.needsReport(start + reportLag));
    book.onReport(reportOf(4, { { "m1", {} } }), start + reportLag, start + reportLag);
    CHECK(book.maySendOrders());
    CHECK(book.expectedOrders() == 4);
}
