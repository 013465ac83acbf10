#include "Side/side_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

side_view viewOf(bool checksFencing, std::vector<placement> placements = {})
{
    side_view view = engineView();
    view.upstream.checksFencing = checksFencing;
    view.placements = std::move(placements);
    return view;
}

bool isResident(const load_report& load, const std::string& model)
{
    const auto& models = load.residentModels;
    return std::find(models.begin(), models.end(), model) != models.end();
}

// A side process that gives its engine orders.
struct engine_orders_fixture : engine_side_fixture {
    explicit engine_orders_fixture(const side_view& view, bool withLog = true)
        : engine_side_fixture(view, withLog)
    {
    }

    bool waitUntilOpen()
    {
        return entry->waitForLoad([](const load_report& load) { return load.freeMemoryMb > 0; });
    }

    bool waitForModel(const std::string& model)
    {
        return entry->waitForLoad([&](const load_report& load) { return isResident(load, model); });
    }

    bool hasRunningOrder() const
    {
        const auto orders = getJson(upstream.at, "/control/report").at("recent_orders");
        return std::any_of(
            orders.begin(), orders.end(), [](const auto& order) { return order.at("outcome") == "running"; });
    }

    bool waitForLoadOf(const std::string& model) const
    {
        return until([&] { return getJson(upstream.at, "/admin/stats")["loads"].contains(model); });
    }

    std::uint64_t peakMb() const { return getJson(upstream.at, "/admin/stats")["peak_memory_mb"]; }
};

} // namespace

TEST_CASE("side orders: pinned models are loaded, with and without fencing")
{
    for (const bool checksFencing : { false, true }) {
        engine_orders_fixture path(viewOf(checksFencing, { { "other", "up-1", true } }));
        CHECK(path.waitForModel("other"));
        CHECK(path.peakMb() <= 1000);
    }
}

TEST_CASE("side orders: a request for a cold model waits for its load, and an idle one makes room")
{
    engine_orders_fixture path(viewOf(true, { { "other", "up-1", true } }));
    REQUIRE(path.waitForModel("other"));
    const received_answer answer = path.ask(chatRequest(1, "third"));
    REQUIRE(answer.end);
    CHECK(isResident(answer.end->load, "third"));
    CHECK_FALSE(isResident(answer.end->load, "small"));
    CHECK(path.peakMb() <= 1000);
}

TEST_CASE("side orders: a model that pinned ones leave no room for is refused as not run")
{
    engine_orders_fixture path(viewOf(false, { { "other", "up-1", true }, { "small", "up-1", true } }));
    REQUIRE(path.waitForModel("other"));
    const received_answer answer = path.ask(chatRequest(1, "third"));
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "no_memory");
    CHECK(answer.refusal->verdict == verdict::NotRun);
}

TEST_CASE("side orders: a model in steady use yields its memory to a pinned one that has no other room")
{
    engine_orders_fixture path(viewOf(true, { { "small", "up-1", true } }));
    REQUIRE(path.waitUntilOpen());
    path.entry->send(chatRequest(3, "third"));
    REQUIRE(path.entry->answerTo(3).end);
    setFaults(path.upstream.at, { { "hold", true } });
    path.entry->send(chatRequest(1, "third"));
    REQUIRE(path.entry->waitForLoad([](const load_report& load) { return load.running == 1; }));
    side_view pinned = viewOf(true, { { "small", "up-1", true }, { "other", "up-1", true } });
    ++pinned.offset;
    path.entry->send(side_view_message { pinned.offset, formatSideView(pinned) });
    path.entry->send(chatRequest(2, "third"));
    const received_answer refused = path.entry->answerTo(2);
    REQUIRE(refused.refusal);
    CHECK(refused.refusal->reason == "no_memory");
    CHECK(refused.refusal->verdict == verdict::NotRun);
    setFaults(path.upstream.at, { { "hold", false } });
    CHECK(path.entry->answerTo(1).end);
    CHECK(path.waitForModel("other"));
    CHECK(path.peakMb() <= 1000);
}

TEST_CASE(
    "side orders: a cold model that comes too late for the deadline is refused, with a time to come back")
{
    engine_orders_fixture path(viewOf(false));
    REQUIRE(path.waitUntilOpen());
    request_message request = chatRequest(1, "other");
    request.deadlineMs = 50;
    const received_answer answer = path.ask(request);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "model_loading");
    CHECK(answer.refusal->verdict == verdict::NotRun);
    CHECK(answer.refusal->retryAfterMs > 0);
    CHECK(path.waitForModel("other"));
}

TEST_CASE("side orders: without the log a checked engine gets no orders and serves what it holds")
{
    engine_orders_fixture path(viewOf(true, { { "other", "up-1", true } }), false);
    REQUIRE(path.waitForModel("small"));
    CHECK(path.ask(chatRequest(1, "small")).end);
    CHECK(path.ask(chatRequest(2, "third")).refusal->reason == "model_not_loaded");
    CHECK(getJson(path.settings.admin, "/admin/status")["engine"]["orders"] == "no_fence");
    CHECK(getJson(path.upstream.at, "/admin/stats")["loads"].empty());
}

TEST_CASE("side orders: lost orders and lost answers lead to one load and no overcommit")
{
    engine_orders_fixture path(viewOf(true));
    REQUIRE(path.waitUntilOpen());
    setFaults(path.upstream.at, { { "lose_orders", 1 } });
    CHECK(path.ask(chatRequest(1, "other")).end);
    setFaults(path.upstream.at, { { "lose_order_answers", 1 }, { "delay_orders_ms", 50 } });
    CHECK(path.ask(chatRequest(2, "third")).end);
    CHECK(getJson(path.upstream.at, "/admin/stats")["loads"]["other"] == 1);
    CHECK(getJson(path.upstream.at, "/admin/stats")["overcommit_orders"] == 0);
    CHECK(path.peakMb() <= 1000);
}

TEST_CASE("side orders: an engine that a later process has fenced gets no more orders from this one")
{
    engine_orders_fixture path(viewOf(true));
    REQUIRE(path.waitUntilOpen());
    http_request later;
    later.method = "POST";
    later.server = path.upstream.at;
    later.target = "/control/orders";
    later.body = R"({"order_id":"later","fence":1000000,"action":"unload","model":"none","memory_mb":0})";
    http_client().send(later);
    const received_answer answer = path.ask(chatRequest(1, "other"));
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->verdict == verdict::NotRun);
    CHECK(getJson(path.settings.admin, "/admin/status")["engine"]["orders"] == "fenced_off");
    CHECK(getJson(path.upstream.at, "/admin/stats")["loads"].empty());
}

TEST_CASE("side orders: a process that replaces one whose order is still under way overcommits nothing")
{
    for (const bool checksFencing : { false, true }) {
        engine_orders_fixture path(viewOf(checksFencing));
        REQUIRE(path.waitUntilOpen());
        // The order that takes the fencing number is not the one that is replaced.
        REQUIRE(until([&] { return !path.hasRunningOrder(); }));
        setFaults(path.upstream.at, { { "delay_orders_ms", 6000 }, { "refuse_overcommit", false } });
        path.entry->send(chatRequest(1, "other"));
        REQUIRE(until([&] { return path.hasRunningOrder(); }));
        setFaults(path.upstream.at, { { "delay_orders_ms", 0 } });
        path.start(viewOf(checksFencing, { { "third", "up-1", true } }));
        CHECK(path.waitForModel("third"));
        CHECK(path.waitForLoadOf("other"));
        CHECK(path.peakMb() <= 1000);
    }
}
