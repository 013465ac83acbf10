#include "Side/side_fixture.h"

#include <doctest/doctest.h>
#include <thread>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

fake_engine::options engineOptions()
{
    fake_engine::options options;
    options.memory.totalMb = 1000;
    options.memory.preload = { "small=400" };
    return options;
}

// A side process before an engine that holds the model "small", and an entry.
struct engine_path {
    explicit engine_path(const side_view& view = engineView())
    {
        entry.send(side_view_message { view.offset, formatSideView(view) });
        REQUIRE(entry.waitForLoad([](const load_report& load) { return !load.residentModels.empty(); }));
    }

    served<fake_engine> engine { engineOptions() };
    side_settings settings { sideSettings(engine.at) };
    side_process side { settings };
    entry_player entry { settings.frames };
};

std::uint16_t statusOf(const address& admin, const std::string& target)
{
    http_request request;
    request.server = admin;
    request.target = target;
    return http_client().send(request).status;
}

} // namespace

TEST_CASE("side: a request is refused as not run before the records are known")
{
    served<fake_engine> engine(engineOptions());
    const side_settings settings = sideSettings(engine.at);
    side_process side(settings);
    entry_player entry(settings.frames);
    CHECK(statusOf(settings.admin, "/readyz") == 503);
    CHECK(statusOf(settings.admin, "/healthz") == 200);
    entry.send(chatRequest(1));
    const seen_answer answer = entry.answerTo(1);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "not_ready");
    CHECK(answer.refusal->verdict == verdict::NotRun);
}

TEST_CASE("side: plain and streamed answers come whole, with totals and usage")
{
    engine_path path;
    CHECK(statusOf(path.settings.admin, "/readyz") == 200);
    path.entry.send(chatRequest(1));
    path.entry.send(chatRequest(2, "small", true));
    for (const std::uint64_t id : { 1U, 2U }) {
        const seen_answer answer = path.entry.answerTo(id);
        REQUIRE(answer.end);
        CHECK(answer.head->status == 200);
        CHECK(answer.end->bytes == answer.body.size());
        CHECK(answer.end->frames == answer.pieces);
        CHECK(answer.end->tokensUsed == 6);
        CHECK(answer.body.find("word") != std::string::npos);
        CHECK(answer.end->load.upstream == "up-1");
    }
    CHECK(path.entry.answerTo(2).body.find("data: [DONE]") != std::string::npos);
}

TEST_CASE("side: the upstream gets team, request id and trace, and never a key")
{
    engine_path path;
    request_message request = chatRequest(1);
    request.headers.push_back({ "authorization", "Bearer secret" });
    path.entry.send(request);
    const seen_answer refused = path.entry.answerTo(1);
    REQUIRE(refused.refusal);
    CHECK(refused.refusal->reason == "key_header");
    CHECK(refused.refusal->verdict == verdict::NotRun);
    path.entry.send(chatRequest(2));
    REQUIRE(path.entry.answerTo(2).end);
    const nlohmann::json stats = get(path.engine.at, "/admin/stats");
    CHECK(stats["by_team"] == nlohmann::json { { "one", 1 } });
    CHECK(stats["by_request"].size() == 1);
    CHECK(stats.dump().find("secret") == std::string::npos);
}

TEST_CASE("side: a cut stream is refused as may have run, never ended as whole")
{
    engine_path path;
    post(path.engine.at, "/admin/faults", R"({"cut_after_events":2})");
    path.entry.send(chatRequest(1, "small", true));
    const seen_answer answer = path.entry.answerTo(1);
    REQUIRE(answer.refusal);
    CHECK_FALSE(answer.end);
    CHECK(answer.refusal->verdict == verdict::MayHaveRun);
}

TEST_CASE("side: an upstream that cannot be reached is a refusal as not run")
{
    const address nobody = freeAddress();
    const side_settings settings = sideSettings(nobody);
    side_process side(settings);
    entry_player entry(settings.frames);
    entry.send(side_view_message { 1, formatSideView(serviceView()) });
    entry.send(chatRequest(1));
    const seen_answer answer = entry.answerTo(1);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "upstream_unreachable");
    CHECK(answer.refusal->verdict == verdict::NotRun);
}

TEST_CASE("side: a view of a lower offset never replaces a higher one")
{
    engine_path path;
    side_view newer = engineView(3);
    path.entry.send(side_view_message { 7, formatSideView(newer) });
    REQUIRE(path.entry.waitForLoad([](const load_report& load) { return load.slots == 3; }));
    newer.upstream.slots = 5;
    path.entry.send(side_view_message { 6, formatSideView(newer) });
    path.entry.send(chatRequest(1));
    CHECK(path.entry.answerTo(1).end->load.slots == 3);
}

TEST_CASE("side: a leaving upstream gets nothing new")
{
    side_view view = engineView();
    engine_path path(view);
    view.upstream.leaving = true;
    path.entry.send(side_view_message { 2, formatSideView(view) });
    REQUIRE(path.entry.waitForLoad([](const load_report& load) { return load.draining; }));
    path.entry.send(chatRequest(1));
    CHECK(path.entry.answerTo(1).refusal->reason == "leaving");
}

TEST_CASE("side: what requests ask of each model is reported, also where they are refused")
{
    // Without a log nothing is ordered on such an engine.
    side_view view = engineView();
    view.upstream.checksFencing = true;
    engine_path path(view);
    path.entry.send(chatRequest(1));
    CHECK(path.entry.answerTo(1).end);
    path.entry.send(chatRequest(2, "third"));
    CHECK(path.entry.answerTo(2).refusal->reason == "model_not_loaded");
    CHECK(path.entry.waitForLoad([](const load_report& load) {
        return load.modelUses.size() == 2 && load.modelUses[0].tokensPerSecond > 0;
    }));
}

TEST_CASE("side: a cancelled stream stops at the engine")
{
    engine_path path;
    request_message request = chatRequest(1, "small", true);
    post(path.engine.at, "/admin/faults", R"({"tokens_per_second":5})");
    request.body = nlohmann::json {
        { "model", "small" }, { "stream", true }, { "max_tokens", 1000 },
        { "messages", { { { "role", "user" }, { "content", "a" } } } }
    }.dump();
    path.entry.send(request);
    REQUIRE(path.entry.waitForBody(1));
    path.entry.send(cancel_message { 1 });
    CHECK(path.entry.waitForLoad([](const load_report& load) { return load.running == 0; }));
    CHECK(path.entry.answerTo(1).refusal->reason == "cancelled");
}

TEST_CASE("side: draining finishes what runs and waits, refuses what is new, and cuts nothing")
{
    engine_path path(engineView(1));
    post(path.engine.at, "/admin/faults", R"({"hold":true})");
    path.entry.send(chatRequest(1, "small", true));
    path.entry.send(chatRequest(2));
    REQUIRE(path.entry.waitForLoad(
        [](const load_report& load) { return load.running == 1 && load.queued == 1; }));
    std::thread drainer([&] { path.side.drain(); });
    REQUIRE(path.entry.waitForLoad([](const load_report& load) { return load.draining; }));
    CHECK(statusOf(path.settings.admin, "/readyz") == 503);
    path.entry.send(chatRequest(3));
    CHECK(path.entry.answerTo(3).refusal->reason == "draining");
    CHECK(path.entry.answerTo(3).refusal->verdict == verdict::NotRun);
    post(path.engine.at, "/admin/faults", R"({"hold":false})");
    CHECK(path.entry.answerTo(1).end);
    CHECK(path.entry.answerTo(2).end);
    CHECK(path.entry.waitForDown());
    drainer.join();
}

TEST_CASE("side: a call that may run once does not run while it cannot be claimed")
{
    served<fake_service> service("ledger");
    const side_settings settings = sideSettings(service.at);
    side_process side(settings);
    entry_player entry(settings.frames);
    entry.send(side_view_message { 1, formatSideView(serviceView()) });
    request_message request = chatRequest(1);
    request.path = "/deposits";
    request.idempotent = false;
    request.idempotencyKey = "key-1";
    request.deadlineMs = 1000;
    entry.send(request);
    const seen_answer answer = entry.answerTo(1);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "log_unavailable");
    CHECK(answer.refusal->verdict == verdict::NotRun);
    CHECK(get(service.at, "/admin/executions")["total"] == 0);
}

TEST_CASE("side: a call that may run once runs once, however often it is sent")
{
    served<fake_log_at> log;
    served<fake_service> service("ledger");
    side_settings settings = sideSettings(service.at);
    settings.log = log.at;
    side_process side(settings);
    entry_player entry(settings.frames);
    entry.send(side_view_message { 1, formatSideView(serviceView()) });
    const std::string key = "deposit-1";
    for (std::uint64_t id = 1; id <= 3; ++id) {
        request_message request = chatRequest(id);
        request.path = "/deposits";
        request.idempotent = false;
        request.idempotencyKey = key;
        entry.send(request);
        const seen_answer answer = entry.answerTo(id);
        CHECK(answer.end.has_value() == (id == 1));
        if (answer.refusal) {
            CHECK(answer.refusal->reason == "already_claimed");
            CHECK(answer.refusal->verdict == verdict::MayHaveRun);
        }
    }
    CHECK(get(service.at, "/admin/executions")["total"] == 1);
}
