#include "Relay/relay_fixture.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using request = scripted_upstream::request;

// Bytes that an endless answer has sent when its reader should long have closed.
constexpr std::size_t farTooMuch = std::size_t { 64 } << 20U;

/// \return a sound answer with one more field.
std::string answerWithField(
    const request& asked, int status, const std::string& field, const std::string& body)
{
    std::string text = scripted_upstream::answer(asked, status, body);
    return text.insert(text.find("\r\n") + 2, field + "\r\n");
}

/// \return an upstream that says in each answer that it leaves.
scripted_upstream& addLeaving(relay_fixture& world)
{
    auto& leaving = world.addUpstream("u1");
    leaving.onRequest = [](const request& asked) {
        asked.stream->write(answerWithField(asked, 200, "Server-Leaving: 1", "last"));
    };
    return leaving;
}

/// Writes bytes to whoever asks, piece by piece, until the connection is closed or far too many are written.
class endless_writer {
public:
    endless_writer(scripted_upstream& upstream, std::string begin, std::string piece)
        : m_upstream(upstream)
        , m_begin(std::move(begin))
        , m_piece(std::move(piece))
        , m_timer(upstream.loop(), [this] { write(); })
    {
        upstream.onRequest = [this](const request& asked) {
            m_stream = asked.stream;
            m_stream->write(m_begin);
            write();
        };
    }

    std::size_t written() const { return m_written; }
    bool isClosed() const { return m_stream != nullptr && !m_upstream.isOpen(m_stream); }

private:
    void write()
    {
        if (isClosed() || m_written >= farTooMuch)
            return;
        if (m_stream->unwritten() < m_piece.size()) {
            m_stream->write(m_piece);
            m_written += m_piece.size();
        }
        m_timer.start({});
    }

    scripted_upstream& m_upstream;
    std::string m_begin;
    std::string m_piece;
    timer m_timer;
    tcp_stream* m_stream { nullptr };
    std::size_t m_written { 0 };
};

std::string chunkOf(std::size_t bytes)
{
    std::string text;
    appendChunk(text, std::string(bytes, 'x'));
    return text;
}

} // namespace

TEST_CASE("relay: an upstream that says in an answer that it leaves gets no request more")
{
    relay_fixture world;
    auto& leaving = addLeaving(world);
    auto& first = world.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(world.ended(first));
    CHECK(first.status() == 200);
    auto& sound = world.addUpstream("u2");
    answerAll(sound);
    for (int call = 0; call < 6; ++call) {
        auto& caller = world.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(world.ended(caller));
        CHECK(caller.status() == 200);
    }
    CHECK(leaving.requests.size() == 1);
    CHECK(sound.requests.size() == 6);
}

TEST_CASE("relay: an upstream that leaves is not used again because the list lost it and names it once more")
{
    relay_fixture world;
    auto& leaving = addLeaving(world);
    auto& first = world.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(world.ended(first));
    world.tested.onUpstreams({});
    world.publishUpstreams();
    auto& second = world.addCaller();
    second.request("GET", "/safe/a");
    REQUIRE(world.ended(second));
    CHECK(second.status() == 503);
    CHECK(leaving.requests.size() == 1);
    // A new start is another upstream.
    auto entry = leaving.entry();
    entry.startedAt += 1000;
    world.tested.onUpstreams({ { entry.id, entry } });
    auto& third = world.addCaller();
    third.request("GET", "/safe/a");
    REQUIRE(world.ended(third));
    CHECK(third.status() == 200);
}

TEST_CASE("relay: an upstream that asks for a rest gets nothing until it ends, and its callers are told so")
{
    relay_fixture world;
    auto& tired = world.addUpstream("u1");
    tired.onRequest = [&](const request& asked) {
        if (tired.requests.size() == 1)
            asked.stream->write(answerWithField(asked, 503, "Retry-After: 0.9\r\nNot-Run: 1", "full"));
        else
            asked.stream->write(scripted_upstream::answer(asked, 200, "ok"));
    };
    auto& first = world.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(world.ended(first));
    CHECK(first.status() == 503);
    const monotonic_time rests = monotonicNow();
    for (int call = 0; call < 4; ++call) {
        auto& caller = world.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(world.ended(caller));
        CHECK(caller.status() == 503);
        CHECK(caller.has("not_run"));
        CHECK(caller.has("Retry-After: "));
    }
    CHECK(tired.requests.size() == 1);
    REQUIRE(loopUntil(world.loop, [&] { return monotonicNow() - rests > milliseconds(950); }));
    auto& later = world.addCaller();
    later.request("GET", "/safe/a");
    REQUIRE(world.ended(later));
    CHECK(later.status() == 200);
}

TEST_CASE("relay: bytes without end in a body that is no answer are closed at a bound, and told as a fault")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    endless_writer writer(upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(8192));
    auto& caller = world.addCaller();
    caller.request("POST", "/unsafe/a", "", "x");
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 502);
    CHECK(caller.has("may_have_run"));
    CHECK(loopUntil(world.loop, [&] { return writer.isClosed(); }));
    CHECK(writer.written() < farTooMuch / 8);
}

TEST_CASE("relay: a failure whose body never ends is closed at a bound")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    endless_writer writer(
        upstream, "HTTP/1.1 500 X\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(8192));
    auto& caller = world.addCaller();
    caller.request("POST", "/stream/a", "", "x");
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 502);
    CHECK(loopUntil(world.loop, [&] { return writer.isClosed(); }));
    CHECK(writer.written() < farTooMuch / 8);
}

TEST_CASE("relay: an answer to another request that never ends is closed at a bound")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    endless_writer writer(upstream,
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        chunkOf(8192));
    auto& caller = world.addCaller();
    caller.request("POST", "/unsafe/a", "", "x");
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 502);
    CHECK_FALSE(caller.has("xxxx"));
    CHECK(writer.written() < farTooMuch / 8);
}

TEST_CASE("relay: a head that never ends is closed at a bound")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    endless_writer writer(upstream, "HTTP/1.1 200 OK\r\n", "X-More: " + std::string(1000, 'x') + "\r\n");
    auto& caller = world.addCaller();
    caller.request("POST", "/unsafe/a", "", "x");
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 502);
    CHECK(loopUntil(world.loop, [&] { return writer.isClosed(); }));
    CHECK(writer.written() < farTooMuch / 8);
}

TEST_CASE(
    "relay: connections that an upstream drops while they are idle, sooner than it said, cost no request")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    upstream.onRequest = [](const request& asked) {
        asked.stream->write(answerWithField(asked, 200, "Keep-Alive: timeout=60", "ok"));
    };
    for (int call = 0; call < 20; ++call) {
        // Calls that may run once: a lost one cannot be sent again.
        auto& caller = world.addCaller();
        caller.request("POST", "/unsafe/a");
        REQUIRE(world.ended(caller));
        CHECK(caller.status() == 200);
        upstream.cutAll();
        loopFor(world.loop, milliseconds(5));
    }
    CHECK(upstream.accepted == 20);
}

TEST_CASE(
    "relay: a request that crosses an early drop is repeated where it may be, and else not called unrun")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    int arrived = 0;
    upstream.onRequest = [&](const request& asked) {
        // Each second request meets the end of the connection that the one before it left.
        if (++arrived % 2 == 0)
            upstream.cut(asked.stream);
        else
            asked.stream->write(scripted_upstream::answer(asked, 200, "ok"));
    };
    const auto call = [&](const std::string& method, const std::string& path) -> scripted_caller& {
        auto& caller = world.addCaller();
        caller.request(method, path);
        REQUIRE(world.ended(caller));
        return caller;
    };
    CHECK(call("GET", "/safe/a").status() == 200);
    CHECK(call("GET", "/safe/b").status() == 200);
    CHECK(arrived == 3);
    auto& lost = call("POST", "/unsafe/c");
    CHECK(arrived == 4);
    CHECK(lost.status() == 502);
    CHECK_FALSE(lost.has("not_run"));
}

TEST_CASE("relay: while an upstream flaps, calls that may be repeated are answered and it gets few of them")
{
    relay_fixture world;
    auto& flapping = world.addUpstream("u1");
    auto& sound = world.addUpstream("u2");
    answerAll(sound);
    bool isDown = false;
    int lost = 0;
    flapping.onRequest = [&](const request& asked) {
        if (!isDown)
            return asked.stream->write(scripted_upstream::answer(asked, 200, "ok"));
        ++lost;
        flapping.cut(asked.stream);
    };
    for (int call = 0; call < 100; ++call) {
        if (call % 10 == 0)
            isDown = !isDown;
        if (isDown && call % 10 == 0)
            flapping.cutAll();
        auto& caller = world.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(world.ended(caller));
        CHECK(caller.status() == 200);
    }
    // Without its failures being weighed it would lose half of the fifty calls that come while it is down.
    CHECK(lost <= 10);
}
