#include "Side/side_fixture.h"

#include <doctest/doctest.h>
#include <thread>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// A side process that has read which models its engine has loaded.
struct ready_engine_fixture : engine_side_fixture {
    explicit ready_engine_fixture(const side_view& view = engineView())
        : engine_side_fixture(view)
    {
        REQUIRE(entry->waitForLoad([](const load_report& load) { return !load.residentModels.empty(); }));
    }
};

} // namespace

TEST_CASE("side: a request is refused as not run before the records are known")
{
    fake_server<fake_engine> engine(engineOptions(false));
    const side_settings settings = sideSettings(engine.listenAddress);
    side_process side(settings);
    fake_entry entry(settings.frames);
    CHECK(statusOf(settings.admin, "/readyz") == 503);
    CHECK(statusOf(settings.admin, "/healthz") == 200);
    entry.send(chatRequest(1));
    const received_answer answer = entry.answerTo(1);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "not_ready");
    CHECK(answer.refusal->verdict == verdict::NotRun);
}

TEST_CASE("side: plain and streamed answers arrive complete, with totals and usage")
{
    ready_engine_fixture fixture;
    CHECK(statusOf(fixture.settings.admin, "/readyz") == 200);
    fixture.entry->send(chatRequest(1));
    fixture.entry->send(chatRequest(2, "small", true));
    for (const std::uint64_t id : { 1U, 2U }) {
        const received_answer answer = fixture.entry->answerTo(id);
        REQUIRE(answer.end);
        CHECK(answer.head->status == 200);
        CHECK(answer.end->bytes == answer.body.size());
        CHECK(answer.end->frames == answer.pieces);
        CHECK(answer.end->tokensUsed == 6);
        CHECK(answer.body.find("word") != std::string::npos);
        CHECK(answer.end->load.upstream == "up-1");
    }
    CHECK(fixture.entry->answerTo(2).body.find("data: [DONE]") != std::string::npos);
}

TEST_CASE("side: the upstream gets team, request id and trace, and never a key")
{
    ready_engine_fixture fixture;
    request_message request = chatRequest(1);
    request.headers.push_back({ "authorization", "Bearer secret" });
    const received_answer refused = fixture.ask(request);
    REQUIRE(refused.refusal);
    CHECK(refused.refusal->reason == "key_header");
    CHECK(refused.refusal->verdict == verdict::NotRun);
    REQUIRE(fixture.ask(chatRequest(2)).end);
    const nlohmann::json stats = getJson(fixture.upstream.listenAddress, "/admin/stats");
    CHECK(stats["by_team"] == nlohmann::json { { "one", 1 } });
    CHECK(stats["by_request"].size() == 1);
    CHECK(stats.dump().find("secret") == std::string::npos);
}

TEST_CASE("side: a truncated stream is refused as may have run, never reported as complete")
{
    ready_engine_fixture fixture;
    setFaults(fixture.upstream.listenAddress, { { "cut_after_events", 2 } });
    const received_answer answer = fixture.ask(chatRequest(1, "small", true));
    REQUIRE(answer.refusal);
    CHECK_FALSE(answer.end);
    CHECK(answer.refusal->verdict == verdict::MayHaveRun);
}

TEST_CASE("side: an upstream that cannot be reached is a refusal as not run")
{
    const address unusedAddress = freeAddress();
    const side_settings settings = sideSettings(unusedAddress);
    side_process side(settings);
    fake_entry entry(settings.frames);
    entry.send(side_view_message { 1, formatSideView(serviceView()) });
    entry.send(chatRequest(1));
    const received_answer answer = entry.answerTo(1);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "upstream_unreachable");
    CHECK(answer.refusal->verdict == verdict::NotRun);
}

TEST_CASE("side: a view of a lower offset never replaces a higher one")
{
    ready_engine_fixture fixture;
    side_view newer = engineView(3);
    fixture.entry->send(side_view_message { 7, formatSideView(newer) });
    REQUIRE(fixture.entry->waitForLoad([](const load_report& load) { return load.slots == 3; }));
    newer.upstream.slots = 5;
    fixture.entry->send(side_view_message { 6, formatSideView(newer) });
    CHECK(fixture.ask(chatRequest(1)).end->load.slots == 3);
}

TEST_CASE("side: a leaving upstream gets no new requests")
{
    side_view view = engineView();
    ready_engine_fixture fixture(view);
    view.upstream.leaving = true;
    fixture.entry->send(side_view_message { 2, formatSideView(view) });
    REQUIRE(fixture.entry->waitForLoad([](const load_report& load) { return load.draining; }));
    CHECK(fixture.ask(chatRequest(1)).refusal->reason == "leaving");
}

TEST_CASE("side: the demand for each model is reported and includes refused requests")
{
    // Without a log there is no fencing token, so an engine that checks them gets no orders.
    side_view view = engineView();
    view.upstream.checksFencing = true;
    ready_engine_fixture fixture(view);
    CHECK(fixture.ask(chatRequest(1)).end);
    CHECK(fixture.ask(chatRequest(2, "third")).refusal->reason == "model_not_loaded");
    CHECK(fixture.entry->waitForLoad([](const load_report& load) {
        return load.modelUses.size() == 2 && load.modelUses[0].tokensPerSecond > 0;
    }));
}

TEST_CASE("side: a cancelled stream stops at the engine")
{
    ready_engine_fixture fixture;
    request_message request = chatRequest(1, "small", true);
    setFaults(fixture.upstream.listenAddress, { { "tokens_per_second", 5 } });
    request.body = nlohmann::json {
        { "model", "small" }, { "stream", true }, { "max_tokens", 1000 },
        { "messages", { { { "role", "user" }, { "content", "a" } } } }
    }.dump();
    fixture.entry->send(request);
    REQUIRE(fixture.entry->waitForBody(1));
    fixture.entry->send(cancel_message { 1 });
    CHECK(fixture.entry->waitForLoad([](const load_report& load) { return load.running == 0; }));
    CHECK(fixture.entry->answerTo(1).refusal->reason == "cancelled");
}

TEST_CASE("side: draining completes running and waiting requests and refuses new ones")
{
    ready_engine_fixture fixture(engineView(1));
    setFaults(fixture.upstream.listenAddress, { { "hold", true } });
    fixture.entry->send(chatRequest(1, "small", true));
    fixture.entry->send(chatRequest(2));
    REQUIRE(fixture.entry->waitForLoad(
        [](const load_report& load) { return load.running == 1 && load.queued == 1; }));
    std::thread drainer([&] { fixture.side->drain(); });
    REQUIRE(fixture.entry->waitForLoad([](const load_report& load) { return load.draining; }));
    CHECK(statusOf(fixture.settings.admin, "/readyz") == 503);
    CHECK(fixture.ask(chatRequest(3)).refusal->reason == "draining");
    CHECK(fixture.entry->answerTo(3).refusal->verdict == verdict::NotRun);
    setFaults(fixture.upstream.listenAddress, { { "hold", false } });
    CHECK(fixture.entry->answerTo(1).end);
    CHECK(fixture.entry->answerTo(2).end);
    CHECK(fixture.entry->waitForDown());
    drainer.join();
}

namespace {

request_message depositRequest(std::uint64_t id)
{
    request_message request = chatRequest(id);
    request.path = "/deposits";
    request.idempotent = false;
    request.idempotencyKey = "key-1";
    return request;
}

} // namespace

TEST_CASE("side: a call that may run at most once does not run while it cannot be claimed")
{
    service_side_fixture fixture(false);
    request_message request = depositRequest(1);
    request.deadlineMs = 1000;
    const received_answer answer = fixture.ask(request);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "log_unavailable");
    CHECK(answer.refusal->verdict == verdict::NotRun);
    CHECK(fixture.executions() == 0);
}

TEST_CASE("side: a call that may run at most once runs once, however often it is sent")
{
    service_side_fixture fixture(true);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const received_answer answer = fixture.ask(depositRequest(id));
        CHECK(answer.end.has_value() == (id == 1));
        if (answer.refusal) {
            CHECK(answer.refusal->reason == "already_claimed");
            CHECK(answer.refusal->verdict == verdict::MayHaveRun);
        }
    }
    CHECK(fixture.executions() == 1);
}
