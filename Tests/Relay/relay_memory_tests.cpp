#include "Relay/relay_fixture.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using request = scripted_upstream::request;

constexpr std::size_t megabyte = 1048576;

std::string headOf(
    const std::string& path, std::size_t bodyBytes, const std::string& key, const std::string& fields = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: " + key + "\r\n" + fields
        + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

/// Waits until all bytes of a caller that does not end its request have arrived and were decided on.
void settle(relay_fixture& fixture)
{
    loopFor(fixture.loop, milliseconds(200));
}

} // namespace

TEST_CASE("relay: the body of a request that no route or key can serve is not kept, and the connection stays")
{
    relay_fixture fixture(megabyte);
    auto& upstream = fixture.addUpstream("u1");
    answerAll(upstream);
    struct refused_request {
        std::string path;
        std::string key;
        std::string status;
    };
    const std::vector<refused_request> cases { { "/nowhere/", "key-1", "404 " },
        { "/safe/a", "key-2", "401 " } };
    for (const auto& tried : cases) {
        auto& caller = fixture.addCaller();
        // Three times the budget.
        caller.send(headOf(tried.path, 3 * megabyte, tried.key) + std::string(3 * megabyte, 'x'));
        REQUIRE(loopUntil(fixture.loop, [&] { return caller.has(tried.status); }));
        CHECK(caller.has("\"not_run\""));
        caller.send(headOf("/safe/a", 1, "key-1") + "x");
        CHECK(loopUntil(fixture.loop, [&] { return caller.has(" 200 OK"); }));
    }
}

TEST_CASE("relay: a caller that asks before it sends its body is refused at once where nothing can serve it")
{
    relay_fixture fixture;
    auto& caller = fixture.addCaller();
    caller.send(headOf("/safe/a", megabyte, "key-2", "Expect: 100-continue\r\n"));
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 401);
    CHECK_FALSE(caller.has("100 Continue"));
}

TEST_CASE("relay: a stalled body is refused as not run with Retry-After when the budget needs its bytes")
{
    relay_fixture fixture(megabyte);
    auto& upstream = fixture.addUpstream("u1");
    answerAll(upstream);
    auto& stalled = fixture.addCaller();
    stalled.send(headOf("/safe/a", 700000, "key-1") + std::string(600000, 'x'));
    settle(fixture);
    CHECK(stalled.status() == 0);
    auto& next = fixture.addCaller();
    next.send(headOf("/safe/a", 600000, "key-1") + std::string(600000, 'x'));
    REQUIRE(fixture.ended(next));
    CHECK(next.status() == 200);
    REQUIRE(fixture.ended(stalled));
    CHECK(stalled.status() == 503);
    CHECK(stalled.has("\"caller_memory\""));
    CHECK(stalled.has("\"not_run\""));
    CHECK(stalled.has("Retry-After: "));
    CHECK(loopUntil(fixture.loop, [&] { return stalled.isClosed(); }));
}

TEST_CASE(
    "relay: while requests that may have run use up the budget, a large one is refused, a small one served")
{
    relay_fixture fixture(megabyte);
    auto& upstream = fixture.addUpstream("u1");
    auto& running = fixture.addCaller();
    running.send(headOf("/unsafe/a", 740000, "key-1") + std::string(740000, 'x'));
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
    auto& large = fixture.addCaller();
    large.send(headOf("/unsafe/a", 200000, "key-1") + std::string(200000, 'x'));
    REQUIRE(fixture.ended(large));
    CHECK(large.status() == 503);
    CHECK(large.has("\"not_run\""));
    // The first upstream sends nothing meanwhile and gets no further requests.
    answerAll(fixture.addUpstream("u2"));
    auto& small = fixture.addCaller();
    small.send(headOf("/unsafe/a", 1000, "key-1") + std::string(1000, 'x'));
    REQUIRE(fixture.ended(small));
    CHECK(small.status() == 200);
    CHECK(running.status() == 0);
    CHECK_FALSE(running.isClosed());
    upstream.requests.at(0).stream->write(scripted_upstream::answer(upstream.requests.at(0), 200, "done"));
    REQUIRE(fixture.ended(running));
    CHECK(running.status() == 200);
}

TEST_CASE("relay: a body that its upstream does not read counts until the request ends")
{
    relay_fixture fixture(megabyte);
    auto& upstream = fixture.addUpstream("u1");
    upstream.stopListening();
    auto& waiting = fixture.addCaller();
    waiting.send(headOf("/safe/a", 700000, "key-1") + std::string(700000, 'x'));
    REQUIRE(fixture.ended(waiting));
    CHECK(waiting.status() == 503);
    upstream.listen();
    fixture.publishUpstreams();
    // The memory of the first request was released with it.
    answerAll(upstream);
    CHECK(loopUntil(fixture.loop, [&] {
        auto& next = fixture.addCaller();
        next.send(headOf("/safe/a", 700000, "key-1") + std::string(700000, 'x'));
        return fixture.ended(next) && next.status() == 200;
    }));
}
