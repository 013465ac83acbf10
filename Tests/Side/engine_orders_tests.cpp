#include "Side/side_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

side_view makeView(bool checksFencing, std::vector<placement> placements = {})
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

// A side process that sends orders to its engine.
struct engine_orders_fixture : engine_side_fixture {
    explicit engine_orders_fixture(const side_view& view, bool withLog = true)
        : engine_side_fixture(view, withLog)
    {
    }

    // Waits until orders may be sent.
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
        const auto orders = getJson(upstream.listenAddress, "/control/report").at("recent_orders");
        return std::any_of(
            orders.begin(), orders.end(), [](const auto& order) { return order.at("outcome") == "running"; });
    }

    // Waits until the engine has carried out an order to load the model.
    bool waitForLoadOf(const std::string& model) const
    {
        return until(
            [&] { return getJson(upstream.listenAddress, "/admin/stats")["loads"].contains(model); });
    }

    std::uint64_t peakMb() const { return getJson(upstream.listenAddress, "/admin/stats")["peak_memory_mb"]; }
};

} // namespace

TEST_CASE("side orders: pinned models are loaded, with and without fencing")
{
    for (const bool checksFencing : { false, true }) {
        engine_orders_fixture fixture(makeView(checksFencing, { { "other", "up-1", true } }));
        CHECK(fixture.waitForModel("other"));
        CHECK(fixture.peakMb() <= 1000);
    }
}

TEST_CASE(
    "side orders: a request waits while its model is loaded, and an idle model is unloaded to make room")
{
    engine_orders_fixture fixture(makeView(true, { { "other", "up-1", true } }));
    REQUIRE(fixture.waitForModel("other"));
    const received_answer answer = fixture.ask(chatRequest(1, "third"));
    REQUIRE(answer.end);
    CHECK(isResident(answer.end->load, "third"));
    CHECK_FALSE(isResident(answer.end->load, "small"));
    CHECK(fixture.peakMb() <= 1000);
}

TEST_CASE("side orders: a request whose model does not fit beside the pinned ones is refused as not run")
{
    engine_orders_fixture fixture(makeView(false, { { "other", "up-1", true }, { "small", "up-1", true } }));
    REQUIRE(fixture.waitForModel("other"));
    const received_answer answer = fixture.ask(chatRequest(1, "third"));
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "no_memory");
    CHECK(answer.refusal->verdict == verdict::NotRun);
}

TEST_CASE("side orders: a model in constant use is drained and unloaded for a pinned one")
{
    engine_orders_fixture fixture(makeView(true, { { "small", "up-1", true } }));
    REQUIRE(fixture.waitUntilOpen());
    fixture.entry->send(chatRequest(3, "third"));
    REQUIRE(fixture.entry->answerTo(3).end);
    setFaults(fixture.upstream.listenAddress, { { "hold", true } });
    fixture.entry->send(chatRequest(1, "third"));
    REQUIRE(fixture.entry->waitForLoad([](const load_report& load) { return load.running == 1; }));
    side_view pinned = makeView(true, { { "small", "up-1", true }, { "other", "up-1", true } });
    ++pinned.offset;
    fixture.entry->send(side_view_message { pinned.offset, formatSideView(pinned) });
    fixture.entry->send(chatRequest(2, "third"));
    const received_answer refused = fixture.entry->answerTo(2);
    REQUIRE(refused.refusal);
    CHECK(refused.refusal->reason == "no_memory");
    CHECK(refused.refusal->verdict == verdict::NotRun);
    setFaults(fixture.upstream.listenAddress, { { "hold", false } });
    CHECK(fixture.entry->answerTo(1).end);
    CHECK(fixture.waitForModel("other"));
    CHECK(fixture.peakMb() <= 1000);
}

TEST_CASE(
    "side orders: a request whose model cannot be loaded before its deadline is refused with a retry time")
{
    engine_orders_fixture fixture(makeView(false));
    REQUIRE(fixture.waitUntilOpen());
    request_message request = chatRequest(1, "other");
    request.deadlineMs = 50;
    const received_answer answer = fixture.ask(request);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "model_loading");
    CHECK(answer.refusal->verdict == verdict::NotRun);
    CHECK(answer.refusal->retryAfterMs > 0);
    CHECK(fixture.waitForModel("other"));
}

TEST_CASE(
    "side orders: without the log, an engine that checks fencing gets no orders and serves its loaded models")
{
    engine_orders_fixture fixture(makeView(true, { { "other", "up-1", true } }), false);
    REQUIRE(fixture.waitForModel("small"));
    CHECK(fixture.ask(chatRequest(1, "small")).end);
    CHECK(fixture.ask(chatRequest(2, "third")).refusal->reason == "model_not_loaded");
    CHECK(getJson(fixture.settings.admin, "/admin/status")["engine"]["orders"] == "no_fence");
    CHECK(getJson(fixture.upstream.listenAddress, "/admin/stats")["loads"].empty());
}

TEST_CASE("side orders: lost orders and lost answers lead to one load and no overcommit")
{
    engine_orders_fixture fixture(makeView(true));
    REQUIRE(fixture.waitUntilOpen());
    setFaults(fixture.upstream.listenAddress, { { "lose_orders", 1 } });
    CHECK(fixture.ask(chatRequest(1, "other")).end);
    setFaults(fixture.upstream.listenAddress, { { "lose_order_answers", 1 }, { "delay_orders_ms", 50 } });
    CHECK(fixture.ask(chatRequest(2, "third")).end);
    CHECK(getJson(fixture.upstream.listenAddress, "/admin/stats")["loads"]["other"] == 1);
    CHECK(getJson(fixture.upstream.listenAddress, "/admin/stats")["overcommit_orders"] == 0);
    CHECK(fixture.peakMb() <= 1000);
}

TEST_CASE("side orders: after a later process has sent an order, an engine gets no more orders from this one")
{
    engine_orders_fixture fixture(makeView(true));
    REQUIRE(fixture.waitUntilOpen());
    http_request later;
    later.method = "POST";
    later.server = fixture.upstream.listenAddress;
    later.target = "/control/orders";
    later.body = R"({"order_id":"later","fence":1000000,"action":"unload","model":"none","memory_mb":0})";
    http_client().send(later);
    const received_answer answer = fixture.ask(chatRequest(1, "other"));
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->verdict == verdict::NotRun);
    CHECK(getJson(fixture.settings.admin, "/admin/status")["engine"]["orders"] == "fenced_off");
    CHECK(getJson(fixture.upstream.listenAddress, "/admin/stats")["loads"].empty());
}

TEST_CASE(
    "side orders: a process does not overcommit memory while an order of its predecessor is still running")
{
    for (const bool checksFencing : { false, true }) {
        engine_orders_fixture fixture(makeView(checksFencing));
        REQUIRE(fixture.waitUntilOpen());
        // Otherwise the order that carries the fencing token to the engine could be taken for the one to
        // load.
        REQUIRE(until([&] { return !fixture.hasRunningOrder(); }));
        setFaults(
            fixture.upstream.listenAddress, { { "delay_orders_ms", 6000 }, { "refuse_overcommit", false } });
        fixture.entry->send(chatRequest(1, "other"));
        REQUIRE(until([&] { return fixture.hasRunningOrder(); }));
        setFaults(fixture.upstream.listenAddress, { { "delay_orders_ms", 0 } });
        fixture.start(makeView(checksFencing, { { "third", "up-1", true } }));
        CHECK(fixture.waitForModel("third"));
        CHECK(fixture.waitForLoadOf("other"));
        CHECK(fixture.peakMb() <= 1000);
    }
}
