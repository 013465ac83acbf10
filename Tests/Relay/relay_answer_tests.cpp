#include "Relay/relay_fixture.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using request = scripted_upstream::request;

void answerWith(scripted_upstream& upstream, int status, const std::string& body)
{
    upstream.onRequest = [status, body](const request& asked) {
        asked.stream->write(scripted_upstream::answer(asked, status, body));
    };
}

} // namespace

TEST_CASE("relay: an answer is relayed unchanged, with its signature and over a reused connection")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    answerWith(upstream, 200, "stock: 7");
    auto& caller = fixture.addCaller();
    caller.request("GET", "/safe/a?x=1");
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("stock: 7"); }));
    CHECK(caller.status() == 200);
    CHECK(caller.has("Server-Stamp: s\r\n"));
    CHECK(upstream.requests.at(0).head.target == "/safe/a?x=1");
    CHECK(upstream.requests.at(0).get("Tenant") == "atelier");
    CHECK(upstream.requests.at(0).get("Key").empty());
    CHECK(upstream.requests.at(0).get("Expect-Instance") == "u1");
    caller.request("GET", "/safe/b");
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 2; }));
    CHECK(upstream.accepted == 1);
    CHECK(loopUntil(fixture.loop, [&] { return fixture.tested.isIdle(); }));
}

TEST_CASE("relay: a non-idempotent call is not retried after its answer was lost, and ends as may_have_run")
{
    relay_fixture fixture;
    auto& first = fixture.addUpstream("u1");
    auto& second = fixture.addUpstream("u2");
    for (auto* upstream : { &first, &second })
        upstream->onRequest = [upstream](const request& asked) { upstream->cut(asked.stream); };
    auto& caller = fixture.addCaller();
    caller.request("POST", "/unsafe/a", "", "deposit");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 502);
    CHECK(caller.has("may_have_run"));
    CHECK(first.requests.size() + second.requests.size() == 1);
    CHECK(fixture.refunded == doctest::Approx(0));
}

TEST_CASE("relay: an idempotent call is retried on another upstream after its answer was lost")
{
    relay_fixture fixture;
    auto& first = fixture.addUpstream("u1");
    auto& second = fixture.addUpstream("u2");
    const auto hasCut = std::make_shared<bool>(false);
    for (auto* upstream : { &first, &second })
        upstream->onRequest = [upstream, hasCut](const request& asked) {
            if (!std::exchange(*hasCut, true))
                upstream->cut(asked.stream);
            else
                asked.stream->write(scripted_upstream::answer(asked, 200, "ok"));
        };
    auto& caller = fixture.addCaller();
    caller.request("GET", "/safe/a");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 200);
    CHECK(first.requests.size() == 1);
    CHECK(second.requests.size() == 1);
}

TEST_CASE("relay: a request that an upstream declined is tried on another one and then refused as not_run")
{
    relay_fixture fixture;
    for (const char* id : { "u1", "u2", "u3" }) {
        auto& upstream = fixture.addUpstream(id);
        upstream.onRequest = [](const request& asked) {
            asked.stream->write("HTTP/1.1 503 X\r\nRequest-Id: " + asked.get("Request-Id")
                + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        };
    }
    auto& caller = fixture.addCaller();
    caller.request("POST", "/unsafe/a", "", "deposit");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 503);
    CHECK(caller.has("not_run"));
    CHECK(caller.has("Retry-After: "));
    CHECK(fixture.refunded == doctest::Approx(10));
    std::size_t sends = 0;
    for (const auto& upstream : fixture.upstreams)
        sends += upstream.requests.size();
    CHECK(sends == 2);
}

TEST_CASE("relay: an answer to another request and a second answer are discarded")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    upstream.onRequest = [](const request& asked) {
        asked.stream->write(
            "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nalien"
            + scripted_upstream::answer(asked, 200, "own")
            + "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nextra");
    };
    auto& caller = fixture.addCaller();
    caller.request("GET", "/safe/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("own"); }));
    caller.request("GET", "/safe/b");
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 2; }));
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.tested.isIdle(); }));
    CHECK_FALSE(caller.has("alien"));
    CHECK_FALSE(caller.has("extra"));
    CHECK(upstream.accepted == 2);
}

TEST_CASE("relay: a success that is unsigned or truncated is refused with 502")
{
    for (const bool isSigned : { true, false }) {
        relay_fixture fixture;
        auto& upstream = fixture.addUpstream("u1");
        auto& caller = fixture.addCaller();
        caller.request("POST", "/unsafe/a", "", "deposit");
        REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
        const auto& asked = upstream.requests.at(0);
        std::string text = scripted_upstream::answer(asked, 200, "whole body", isSigned);
        if (isSigned)
            text.resize(text.size() - 3);
        asked.stream->write(text);
        if (isSigned) {
            REQUIRE(loopUntil(fixture.loop, [&] { return asked.stream->unwritten() == 0; }));
            upstream.cut(asked.stream);
        }
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 502);
        CHECK_FALSE(caller.has("whole"));
    }
}

TEST_CASE("relay: a stream is passed on event by event and ends only with its upstream's end")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    auto& caller = fixture.addCaller();
    caller.request("POST", "/stream/a", "", "x");
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
    tcp_stream* const stream = upstream.requests.at(0).stream;
    stream->write(
        scripted_upstream::streamHead(upstream.requests.at(0)) + scripted_upstream::event(1, "one"));
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("data: one"); }));
    CHECK_FALSE(caller.has("data: two"));
    stream->write(scripted_upstream::event(2, "two"));
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("data: two"); }));
    CHECK_FALSE(caller.has("\r\n0\r\n\r\n"));
    stream->write(std::string(lastChunk));
    CHECK(loopUntil(fixture.loop, [&] { return caller.has("\r\n0\r\n\r\n"); }));
}

TEST_CASE("relay: a stream that breaks off never looks complete")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    fixture.addUpstream("u2");
    auto& caller = fixture.addCaller();
    caller.request("POST", "/stream/a", "", "x");
    const auto requestCount
        = [&] { return fixture.upstreams[0].requests.size() + fixture.upstreams[1].requests.size(); };
    REQUIRE(loopUntil(fixture.loop, [&] { return requestCount() == 1; }));
    auto& used = upstream.requests.empty() ? fixture.upstreams[1] : upstream;
    used.requests.at(0).stream->write(
        scripted_upstream::streamHead(used.requests.at(0)) + scripted_upstream::event(1, "one"));
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("data: one"); }));
    used.cut(used.requests.at(0).stream);
    CHECK(loopUntil(fixture.loop, [&] { return caller.isClosed(); }));
    CHECK_FALSE(caller.has("\r\n0\r\n\r\n"));
    CHECK(requestCount() == 1);
}

TEST_CASE("relay: events that arrive together with the break of their stream are delivered")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    // The events and the invalid chunk that breaks the stream reach the relay together.
    constexpr int events = 3;
    upstream.onRequest = [&](const request& asked) {
        std::string text = scripted_upstream::streamHead(asked);
        for (int event = 1; event <= events; ++event)
            text += scripted_upstream::event(event, "number " + std::to_string(event) + " of many");
        // A chunk cannot begin like this, so the relay finds the answer broken right after the events.
        asked.stream->write(text + "no chunk\r\n");
    };
    for (int call = 0; call < 10; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("POST", "/stream/a", "", "x");
        REQUIRE(loopUntil(fixture.loop, [&] { return caller.isClosed(); }));
        CHECK(caller.has("data: number " + std::to_string(events) + " of many"));
        CHECK_FALSE(caller.has("\r\n0\r\n\r\n"));
    }
}

TEST_CASE("relay: a resumable stream continues after its last complete event on another upstream")
{
    relay_fixture fixture;
    auto& first = fixture.addUpstream("u1");
    auto& second = fixture.addUpstream("u2");
    auto& caller = fixture.addCaller();
    caller.request("POST", "/resume/a", "", "x");
    REQUIRE(loopUntil(fixture.loop, [&] { return first.requests.size() + second.requests.size() == 1; }));
    auto& broken = first.requests.empty() ? second : first;
    auto& next = first.requests.empty() ? first : second;
    std::string part;
    appendChunk(part, "id: 3\ndata: thr");
    broken.requests.at(0).stream->write(scripted_upstream::streamHead(broken.requests.at(0))
        + scripted_upstream::event(1, "one") + scripted_upstream::event(2, "two") + part);
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("data: two"); }));
    broken.cut(broken.requests.at(0).stream);
    REQUIRE(loopUntil(fixture.loop, [&] { return next.requests.size() == 1; }));
    CHECK(next.requests.at(0).get("Last-Event-Id") == "2");
    next.requests.at(0).stream->write(scripted_upstream::streamHead(next.requests.at(0))
        + scripted_upstream::event(3, "three") + std::string(lastChunk));
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("\r\n0\r\n\r\n"); }));
    CHECK(caller.has("data: three"));
    CHECK_FALSE(caller.has("thr\r\n"));
    // The caller got only the head of the first upstream's answer.
    CHECK(caller.text().find("HTTP/1.1", 1) == std::string::npos);
}

TEST_CASE("relay: a non-idempotent call is tried on another upstream if one refuses the connection")
{
    relay_fixture fixture;
    fixture.addUpstream("u1");
    auto& healthy = fixture.addUpstream("u2");
    answerWith(healthy, 200, "booked");
    // The address of the first upstream refuses connections.
    std::map<std::string, upstream_entry> entries;
    for (const auto& upstream : fixture.upstreams) {
        auto entry = upstream.entry();
        if (entry.id == "u1")
            entry.endpoint.port = 1;
        entries.emplace(entry.id, entry);
    }
    fixture.tested.onUpstreams(entries);
    for (int call = 0; call < 4; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("POST", "/unsafe/a", "", "deposit");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 200);
    }
    CHECK(healthy.requests.size() == 4);
}
