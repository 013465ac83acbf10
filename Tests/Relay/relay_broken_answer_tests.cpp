#include "Relay/relay_fixture.h"
#include "Support/damaged_statuses.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using request = scripted_upstream::request;

/// \return a refusal of a request that has not run; without an id if that is empty.
std::string refusal(const std::string& id)
{
    return "HTTP/1.1 503 X\r\n" + (id.empty() ? std::string() : "Request-Id: " + id + "\r\n")
        + "Server-Stamp: s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

/// \return the head of a signed answer that ends with its connection.
std::string headWithoutLength(const request& asked, const std::string& type)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + asked.get("Request-Id")
        + "\r\nServer-Stamp: s\r\nContent-Type: " + type + "\r\nConnection: close\r\n\r\n";
}

/// Sends a request that the upstream declines, which leaves a connection in the relay's pool.
void leaveKeptConnection(relay_fixture& fixture, scripted_upstream& upstream)
{
    upstream.onRequest = [](const request& asked) { asked.stream->write(refusal(asked.get("Request-Id"))); };
    auto& caller = fixture.addCaller();
    caller.request("POST", "/unsafe/first");
    REQUIRE(fixture.ended(caller));
    REQUIRE(upstream.openStreams == 1);
}

/// Breaks off a resumable stream after its first event and lets the next upstream answer.
void resumeWith(relay_fixture& fixture, const std::function<void(const request&)>& answer)
{
    for (const char* id : { "u1", "u2" }) {
        fixture.addUpstream(id).onRequest = [answer](const request& asked) {
            if (asked.head.find("Last-Event-Id") != nullptr)
                answer(asked);
            else
                asked.stream->write(
                    scripted_upstream::streamHead(asked) + scripted_upstream::event(1, "one"));
        };
    }
    auto& caller = fixture.addCaller();
    caller.request("GET", "/resume/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("one"); }));
    for (auto& upstream : fixture.upstreams)
        upstream.cutAll();
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.isClosed() || caller.text().ends_with(lastChunk); }));
}

} // namespace

TEST_CASE("relay: an earlier refusal that an upstream repeats is no answer to the next request")
{
    for (const std::string& id : { std::string("r/unsafe/first"), std::string() }) {
        CAPTURE(id);
        relay_fixture fixture;
        auto& upstream = fixture.addUpstream("u1");
        leaveKeptConnection(fixture, upstream);
        upstream.onRequest = [id](const request& asked) {
            asked.stream->write(refusal(id));
            asked.stream->write(scripted_upstream::answer(asked, 200, "deposited"));
        };
        auto& caller = fixture.addCaller();
        caller.request("POST", "/unsafe/second");
        REQUIRE(fixture.ended(caller));
        CHECK_FALSE(caller.has("not_run"));
        CHECK(caller.status() == 200);
        CHECK(upstream.requests.size() == 2);
    }
}

TEST_CASE("relay: a call that may not run twice is not sent on after a refusal that names no request")
{
    relay_fixture fixture;
    auto& first = fixture.addUpstream("u1");
    leaveKeptConnection(fixture, first);
    first.onRequest = {};
    auto& caller = fixture.addCaller();
    caller.request("POST", "/unsafe/second");
    REQUIRE(loopUntil(fixture.loop, [&] { return first.requests.size() == 2; }));
    auto& second = fixture.addUpstream("u2");
    answerAll(second);
    first.requests.back().stream->write(refusal({}));
    loopFor(fixture.loop, milliseconds(100));
    CHECK(second.requests.empty());
    CHECK_FALSE(caller.has("not_run"));
}

TEST_CASE("relay: a request that ran before an upstream declined it is not refused as not_run")
{
    for (const std::string path : { "/safe/a", "/resume/a" }) {
        CAPTURE(path);
        relay_fixture fixture;
        bool hasRun = false;
        for (const char* id : { "u1", "u2" }) {
            auto& upstream = fixture.addUpstream(id);
            upstream.onRequest = [&](const request& asked) {
                if (std::exchange(hasRun, true))
                    asked.stream->write(refusal(asked.get("Request-Id")));
                else
                    upstream.cut(asked.stream);
            };
        }
        auto& caller = fixture.addCaller();
        caller.request("GET", path);
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 502);
        CHECK(caller.has("may_have_run"));
        CHECK(fixture.refunded == 0);
    }
}

TEST_CASE("relay: an error of the upstream that is to resume a stream does not reach the caller's stream")
{
    const auto checkAborted = [](const std::function<void(const request&)>& answer) {
        relay_fixture fixture;
        resumeWith(fixture, answer);
        const auto& caller = fixture.callers.back();
        CHECK(caller.has("one"));
        CHECK_FALSE(caller.has("boom"));
        CHECK_FALSE(caller.has("500"));
        CHECK_FALSE(caller.text().ends_with(lastChunk));
    };
    SUBCASE("with a length")
    {
        checkAborted(
            [](const request& asked) { asked.stream->write(scripted_upstream::answer(asked, 500, "boom")); });
    }
    SUBCASE("without a signature")
    {
        checkAborted([](const request& asked) {
            asked.stream->write(scripted_upstream::answer(asked, 200, "boom", false));
        });
    }
    SUBCASE("in chunks")
    {
        checkAborted([](const request& asked) {
            std::string text = "HTTP/1.1 500 X\r\nRequest-Id: " + asked.get("Request-Id")
                + "\r\nTransfer-Encoding: chunked\r\n\r\n";
            appendChunk(text, "boom\n\n");
            asked.stream->write(text + std::string(lastChunk));
        });
    }
    SUBCASE("as a refusal")
    {
        checkAborted([](const request& asked) { asked.stream->write(refusal(asked.get("Request-Id"))); });
    }
}

TEST_CASE("relay: an answer without a length is complete when its connection is closed")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    upstream.onRequest = [&](const request& asked) {
        asked.stream->write(headWithoutLength(asked, "text/plain") + "stock: 7");
    };
    auto& caller = fixture.addCaller();
    caller.request("GET", "/safe/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
    loopFor(fixture.loop, milliseconds(50));
    CHECK(caller.status() == 0);
    upstream.cut(upstream.requests.front().stream);
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 200);
    CHECK(caller.has("Content-Length: 8\r\n"));
    CHECK(caller.text().ends_with("stock: 7"));
}

TEST_CASE(
    "relay: a stream without a length is complete if its connection is closed after an event, not within one")
{
    for (const std::string path : { "/stream/a", "/resume/a" }) {
        for (const bool endsInside : { false, true }) {
            CAPTURE(path);
            CAPTURE(endsInside);
            relay_fixture fixture;
            auto& upstream = fixture.addUpstream("u1");
            upstream.onRequest = [&](const request& asked) {
                asked.stream->write(headWithoutLength(asked, "text/event-stream") + "id: 1\ndata: one\n\n"
                    + (endsInside ? "id: 2\ndata: tw" : "id: 2\ndata: two\n\n"));
            };
            auto& caller = fixture.addCaller();
            caller.request("GET", path);
            REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("one"); }));
            loopFor(fixture.loop, milliseconds(50));
            upstream.cut(upstream.requests.front().stream);
            REQUIRE(loopUntil(
                fixture.loop, [&] { return caller.isClosed() || caller.text().ends_with(lastChunk); }));
            CHECK(caller.text().ends_with(lastChunk) == !endsInside);
        }
    }
}

TEST_CASE("relay: a stream in chunks that ends within an event never looks complete")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    upstream.onRequest = [&](const request& asked) {
        std::string text = scripted_upstream::streamHead(asked) + scripted_upstream::event(1, "one");
        appendChunk(text, "id: 2\ndata: tw");
        asked.stream->write(text + std::string(lastChunk));
    };
    auto& caller = fixture.addCaller();
    caller.request("GET", "/stream/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.isClosed() || caller.text().ends_with(lastChunk); }));
    CHECK_FALSE(caller.text().ends_with(lastChunk));
}

// Guards against bytes that are no answer, which a lenient parser takes for one.
TEST_CASE("relay: an answer with a damaged status is refused with 502 and not passed on")
{
    for (const char* status : { "2 0", "20", "2", "0200", "700" }) {
        for (const char* path : { "/unsafe/a", "/stream/a" }) {
            CAPTURE(status);
            CAPTURE(path);
            relay_fixture fixture;
            auto& upstream = fixture.addUpstream("u1");
            upstream.onRequest = [status](const request& asked) {
                std::string text = scripted_upstream::answer(asked, 200, "body");
                text.replace(text.find("200"), 3, status);
                asked.stream->write(text);
            };
            auto& caller = fixture.addCaller();
            caller.request("POST", path);
            REQUIRE(fixture.ended(caller));
            CHECK(caller.status() == 502);
            CHECK(caller.has("may_have_run"));
            CHECK(caller.text().starts_with("HTTP/1.1 502 "));
        }
    }
}

// Guards against a success with an empty or short body where an upstream stopped within its answer's head.
TEST_CASE("relay: an answer that ends within its head is refused with 502, wherever it ends")
{
    const std::string head = "Server-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: 120\r\n";
    for (std::size_t size = 1; size <= head.size(); size += 6) {
        for (const char* path : { "/unsafe/a", "/stream/a", "/resume/a" }) {
            CAPTURE(size);
            CAPTURE(path);
            relay_fixture fixture;
            auto& upstream = fixture.addUpstream("u1");
            upstream.onRequest = [&](const request& asked) {
                asked.stream->write("HTTP/1.1 200 OK\r\nRequest-Id: " + asked.get("Request-Id") + "\r\n"
                    + head.substr(0, size));
            };
            auto& caller = fixture.addCaller();
            caller.request("POST", path);
            REQUIRE(loopUntil(fixture.loop, [&] { return !upstream.requests.empty(); }));
            loopFor(fixture.loop, milliseconds(5));
            upstream.onRequest = {};
            upstream.cutAll();
            REQUIRE(fixture.ended(caller));
            CHECK(caller.status() == 502);
            CHECK_FALSE(caller.has("200 OK"));
        }
    }
}

// Guards against an answer with a whole body that is passed on whatever its status.
TEST_CASE("relay: an answer with a damaged status before a whole body never reaches a caller")
{
    const auto withLength
        = [](const request& asked) { return scripted_upstream::answer(asked, 200, "damaged"); };
    const auto inChunks = [](const request& asked) {
        return scripted_upstream::streamHead(asked) + scripted_upstream::event(1, "damaged")
            + std::string(lastChunk);
    };
    const auto untilClose
        = [](const request& asked) { return headWithoutLength(asked, "text/plain") + "damaged"; };
    for (const std::string status : damagedStatuses) {
        for (const std::function<std::string(const request&)>& answer :
            { std::function<std::string(const request&)>(withLength), { inChunks }, { untilClose } }) {
            for (const std::string path : { "/safe/a", "/unsafe/a", "/stream/a", "/resume/a" }) {
                CAPTURE(status);
                CAPTURE(path);
                relay_fixture fixture;
                auto& upstream = fixture.addUpstream("u1");
                upstream.onRequest = [&](const request& asked) {
                    std::string text = answer(asked);
                    text.replace(text.find("200"), 3, status);
                    asked.stream->write(text);
                };
                auto& caller = fixture.addCaller();
                caller.request("POST", path);
                REQUIRE(fixture.ended(caller));
                CHECK(caller.status() == 502);
                CHECK(caller.text().starts_with("HTTP/1.1 502 "));
                CHECK_FALSE(caller.has("damaged"));
            }
        }
    }
}
