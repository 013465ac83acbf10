#include "Entry/answer_validator.h"
#include "Entry/decision_log.h"
#include "Entry/entry_settings.h"
#include "Entry/exchange.h"
#include "Entry/host_watcher.h"
#include "Entry/idempotency_key.h"
#include "Entry/overload_monitor.h"
#include "Entry/refusal.h"
#include "Entry/sse_splitter.h"
#include "Entry/verdict_tracker.h"
#include "Once/key_time.h"
#include "Settings/settings_reader.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sagesaddle;

TEST_CASE(
    "verdict tracker: a running attempt may have run, and the verdict of ended attempts never moves back")
{
    verdict_tracker tracker;
    CHECK(tracker.current() == verdict::NotRun);
    tracker.beginAttempt();
    CHECK(tracker.current() == verdict::MayHaveRun);
    tracker.endAttempt(verdict::NotRun);
    CHECK(tracker.current() == verdict::NotRun);
    tracker.beginAttempt();
    tracker.endAttempt(verdict::MayHaveRun);
    tracker.beginAttempt();
    tracker.endAttempt(verdict::NotRun);
    CHECK(tracker.current() == verdict::MayHaveRun);
}

TEST_CASE("answer validator: a complete answer is valid")
{
    answer_validator validator;
    CHECK(validator.onHead({ .status = 200 }).empty());
    CHECK(validator.onData({ .sequence = 0, .bytes = "ab" }).empty());
    CHECK(validator.onData({ .sequence = 1, .bytes = "c" }).empty());
    CHECK(validator.onEnd({ .frames = 2, .bytes = 3 }).empty());
}

TEST_CASE("answer validator: missing, repeated or reordered frames are errors")
{
    answer_validator validator;
    CHECK_FALSE(validator.onData({ .sequence = 0, .bytes = "a" }).empty());
    CHECK_FALSE(validator.onEnd({}).empty());
    CHECK(validator.onHead({ .status = 200 }).empty());
    CHECK_FALSE(validator.onHead({ .status = 200 }).empty());
    CHECK(validator.onData({ .sequence = 0, .bytes = "a" }).empty());
    CHECK_FALSE(validator.onData({ .sequence = 0, .bytes = "a" }).empty());
    CHECK_FALSE(validator.onData({ .sequence = 2, .bytes = "a" }).empty());
    CHECK_FALSE(validator.onEnd({ .frames = 2, .bytes = 1 }).empty());
    CHECK_FALSE(validator.onEnd({ .frames = 1, .bytes = 2 }).empty());
}

TEST_CASE("event splitter: only complete events are released, and the end marker is withheld")
{
    sse_splitter splitter;
    CHECK(splitter.feed("data: {\"a\"").empty());
    CHECK(splitter.feed(":1}\n\ndata: {\"b\"") == "data: {\"a\":1}\n\n");
    CHECK(splitter.feed(":\"x data: [DONE]\"}\n\n") == "data: {\"b\":\"x data: [DONE]\"}\n\n");
    CHECK(splitter.feed("data: [DONE]\n\n").empty());
    CHECK(splitter.finish() == "data: [DONE]\n\n");
}

TEST_CASE("event splitter: an end marker that arrives with the last event is withheld alone")
{
    sse_splitter splitter;
    CHECK(splitter.feed("data: 1\r\n\r\ndata: [DONE]\r\n\r\n") == "data: 1\r\n\r\n");
    CHECK(splitter.finish() == "data: [DONE]\r\n\r\n");
}

TEST_CASE("exchanges: a frame reaches only the open request of its own upstream")
{
    exchange_table table;
    const auto first = table.open("one");
    CHECK_FALSE(table.deliver("two", first->id(), answer_head {}));
    CHECK(table.deliver("one", first->id(), answer_head {}));
    CHECK(std::holds_alternative<answer_head>(first->wait({})));
    table.onConnectionLost("one");
    CHECK(std::holds_alternative<connection_lost>(first->wait({})));
    CHECK(std::holds_alternative<wait_expired>(first->wait({})));
    table.close(first->id());
    CHECK_FALSE(table.deliver("one", first->id(), answer_head {}));
    CHECK(table.open("one")->id() != first->id());
}

TEST_CASE("exchanges: an answer that its caller does not read ends in an overflow")
{
    exchange slow(1, "one");
    for (int i = 0; i < 6; ++i)
        slow.push(answer_data { .bytes = std::string(std::size_t { 1 } << 20U, 'a') });
    CHECK(std::holds_alternative<answer_overflow>(slow.wait({})));
    CHECK(std::holds_alternative<wait_expired>(slow.wait({})));
}

TEST_CASE("refusal: the problem document names verdict, reason and trace")
{
    const refusal why { 429, "team_rate", "over \"rate\"", verdict::NotRun, 1200 };
    const auto document = nlohmann::json::parse(formatProblem(why, "abc"));
    CHECK(document["type"] == "https://sagesaddle.example/problems/team_rate");
    CHECK(document["status"] == 429);
    CHECK(document["verdict"] == "not_run");
    CHECK(document["retry_after_ms"] == 1200);
    CHECK(document["trace_id"] == "abc");
    CHECK(retryAfterSeconds(1200) == 2);
    CHECK(retryAfterSeconds(1000) == 1);
}

TEST_CASE("refusal: the status follows from the reason, else from the verdict")
{
    CHECK(statusOfReason("already_claimed", verdict::MayHaveRun) == 409);
    CHECK(statusOfReason("team_rate", verdict::NotRun) == 429);
    CHECK(statusOfReason("deadline", verdict::NotRun) == 504);
    CHECK(statusOfReason("log_unavailable", verdict::NotRun) == 503);
    CHECK(statusOfReason("answer_broken", verdict::MayHaveRun) == 502);
    CHECK(isOverload("queue_full"));
    CHECK_FALSE(isOverload("team_rate"));
}

TEST_CASE("overload: its beginning and its end are reported once each")
{
    overload_monitor monitor(milliseconds(3000));
    const monotonic_time start {};
    monitor.onRefused("blue", "queue_full", start);
    monitor.onRefused("blue", "queue_full", start + seconds(2));
    CHECK(monitor.takeChanges(start + seconds(2)).began.size() == 1);
    REQUIRE(monitor.active().size() == 1);
    CHECK(monitor.active().front().refusals == 2);
    const overload_change quiet = monitor.takeChanges(start + seconds(4));
    CHECK(quiet.began.empty());
    CHECK(quiet.ended.empty());
    CHECK(monitor.takeChanges(start + seconds(5)).ended.size() == 1);
    CHECK(monitor.active().empty());
}

TEST_CASE("decisions: the latest are found by trace id, older ones are evicted")
{
    decision_log log(2);
    for (const char* trace : { "a", "b", "c" })
        log.add({ .traceId = trace });
    CHECK(log.find("a").empty());
    CHECK(log.find("c").size() == 1);
}

TEST_CASE("host list: leaving hosts are parsed, and invalid text is an error")
{
    CHECK(parseLeavingHosts(R"({"hosts":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]})")
        == std::set<std::string> { "b" });
    CHECK_THROWS_AS(parseLeavingHosts("[]"), std::runtime_error);
    CHECK_THROWS_AS(parseLeavingHosts("{\"hosts\":[{}]}"), std::runtime_error);
}

TEST_CASE("idempotency key: a generated key is a UUID that contains its time, and is unique")
{
    const wall_time now { milliseconds(1700000000123) };
    const std::string key = makeIdempotencyKey(now);
    CHECK(keyTimeMs(key) == 1700000000123);
    CHECK(makeIdempotencyKey(now) != key);
}

TEST_CASE("entry settings: the keys are read, and all errors are reported")
{
    settings_reader good("e.toml",
        "[process]\nname=\"entry-a\"\nregion=\"r\"\nzone=\"z\"\n[callers]\nlisten=\"127.0.0.1:1\"\nworkers="
        "8\n"
        "certificate_file=\"c.pem\"\nmax_body_bytes=2048\n[admin]\nlisten=\"127.0.0.1:2\"\n"
        "[peers]\nlisten=\"127.0.0.1:3\"\nseeds=[\"127.0.0.1:9\"]\n[log]\naddress=\"127.0.0.1:4\"\n"
        "[hosts]\naddress=\"127.0.0.1:5\"\n[traces]\naddress=\"127.0.0.1:6\"\n[logging]\nlevel=\"debug\"\n"
        "[planner]\ncopy_tokens_per_s=90\ncool_down_ms=2000\n");
    const entry_settings settings = parseEntrySettings(good);
    CHECK(settings.planningEnabled);
    CHECK(settings.planner.copyTokensPerSecond == 90);
    CHECK(settings.planner.coolDown == seconds(2));
    CHECK(settings.limits.maxBodyBytes == 2048);
    CHECK(settings.hostListAddress == address { "127.0.0.1", 5 });
    CHECK(settings.seedPeers == std::vector<address> { { "127.0.0.1", 9 } });
    settings_reader bad("e.toml", "[callers]\nworkers = 1\nseeds = 3\n[planner]\nadd_above = 2\n");
    try {
        parseEntrySettings(bad);
        FAIL("accepted invalid settings");
    } catch (const settings_error& error) {
        const std::string text = error.what();
        for (const char* part : { "[process] name: is missing", "[log] address: is missing",
                 "workers: 1 is out of range; allowed: 2 to 2048", "[callers] seeds: unknown key",
                 "add_above: 2" }) {
            CAPTURE(part);
            CHECK(text.find(part) != std::string::npos);
        }
    }
}
