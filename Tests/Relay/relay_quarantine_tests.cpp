#include "Quarantine/prompt_id.h"
#include "Relay/relay_fixture.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr std::uint64_t quarantined = 0xdead;
const std::string crashingPrompt = "Prompt-Prefix: a1:100,dead:50,f1:50\r\n";
const std::string soundPrompt = "Prompt-Prefix: a1:100,dead:50\r\n";

const quarantine_update told { {}, { { quarantined, seconds(30) } } };

scripted_caller& ask(relay_fixture& fixture, const std::string& path, const std::string& prompt)
{
    auto& caller = fixture.addCaller();
    caller.request("GET", path, prompt);
    return caller;
}

} // namespace

TEST_CASE("relay: a request with a quarantined prompt part is refused at once as not run, with a retry time")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    answerAll(upstream);
    fixture.tested.onQuarantineTold(told);
    auto& caller = ask(fixture, "/safe/a", crashingPrompt);
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 503);
    CHECK(caller.has("prompt_quarantined"));
    CHECK(caller.has("\"not_run\""));
    CHECK(caller.has("Retry-After: 29."));
    CHECK(upstream.requests.empty());
    CHECK(fixture.refunded == 0);
}

TEST_CASE("relay: requests with other parts, or with the quarantined id as their own part, are served")
{
    relay_fixture fixture;
    answerAll(fixture.addUpstream("u1"));
    fixture.tested.onQuarantineTold(told);
    auto& caller = ask(fixture, "/safe/a", soundPrompt);
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 200);
}

TEST_CASE("relay: a request with a quarantined part whose answer has not begun is taken off its upstream")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    auto& caller = ask(fixture, "/resume/a", crashingPrompt);
    auto& other = ask(fixture, "/resume/b", soundPrompt);
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 2; }));
    fixture.tested.onQuarantineTold(told);
    REQUIRE(fixture.ended(caller));
    // It may have run, and is not sent again.
    CHECK(caller.status() == 502);
    CHECK(caller.has("\"may_have_run\""));
    CHECK(loopUntil(fixture.loop, [&] { return upstream.openStreams == 1; }));
    CHECK(other.status() == 0);
    CHECK(upstream.requests.size() == 2);
}

TEST_CASE("relay: an answer that has long begun is delivered though its prompt is in quarantine since")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    auto& caller = ask(fixture, "/stream/a", crashingPrompt);
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
    const auto& request = upstream.requests.front();
    request.stream->write(scripted_upstream::streamHead(request) + scripted_upstream::event(1, "one"));
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("one"); }));
    loopFor(fixture.loop, milliseconds(300));
    fixture.tested.onQuarantineTold(told);
    request.stream->write(scripted_upstream::event(2, "two") + std::string(lastChunk));
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.text().ends_with(lastChunk); }));
    CHECK(caller.has("two"));
}

TEST_CASE("relay: the crash of an upstream is reported with the parts of the requests that were pending")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    ask(fixture, "/stream/a", crashingPrompt);
    ask(fixture, "/stream/b", soundPrompt);
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 2; }));
    upstream.stopListening();
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.tested.quarantine().hasUrgentReport(); }));
    const auto report = fixture.tested.quarantine().takeReport(monotonicNow());
    REQUIRE(report.crashes.size() == 1);
    CHECK(report.crashes.front().process.upstream == "u1");
    std::vector<std::uint64_t> parts = report.crashes.front().parts;
    const auto firstPrompt = std::find_if(parts.begin(), parts.end(), isWholePrompt);
    CHECK(std::distance(firstPrompt, parts.end()) == 2);
    parts.erase(firstPrompt, parts.end());
    CHECK(parts == std::vector<std::uint64_t> { 0xa1, quarantined });
}

TEST_CASE("relay: an upstream that cuts one answer short and lives has not crashed")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    auto& caller = ask(fixture, "/stream/a", crashingPrompt);
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
    upstream.cut(upstream.requests.front().stream);
    REQUIRE(fixture.ended(caller));
    loopFor(fixture.loop, milliseconds(400));
    CHECK_FALSE(fixture.tested.quarantine().hasUrgentReport());
}
