#include "Relay/relay_fixture.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using request = scripted_upstream::request;

// An endless answer stops after this many bytes, in case the relay never closes the connection.
constexpr std::size_t maxWrittenBytes = std::size_t { 64 } << 20U;

/// \return a valid answer with one more header field.
std::string answerWithField(
    const request& asked, int status, const std::string& field, const std::string& body)
{
    std::string text = scripted_upstream::answer(asked, status, body);
    return text.insert(text.find("\r\n") + 2, field + "\r\n");
}

/// \return an upstream that announces its shutdown in each answer.
scripted_upstream& addLeaving(relay_fixture& fixture)
{
    auto& leaving = fixture.addUpstream("u1");
    leaving.onRequest = [](const request& asked) {
        asked.stream->write(answerWithField(asked, 200, "Server-Leaving: 1", "last"));
    };
    return leaving;
}

/// \return an upstream that states a limit of two requests a second in each answer.
scripted_upstream& addLimited(relay_fixture& fixture)
{
    auto& limited = fixture.addUpstream("u1");
    limited.onRequest = [](const request& asked) {
        asked.stream->write(answerWithField(asked, 200, "Server-Limit: 2", "ok"));
    };
    return limited;
}

/// Answers each request, or the one whose stream is given, with an endless repetition of one piece, until the
/// connection is closed or the maximum is written.
class endless_writer {
public:
    endless_writer(
        scripted_upstream& upstream, std::string begin, std::string piece, tcp_stream* stream = nullptr)
        : m_upstream(upstream)
        , m_begin(std::move(begin))
        , m_piece(std::move(piece))
        , m_timer(upstream.loop(), [this] { write(); })
    {
        if (stream != nullptr) {
            m_stream = stream;
            m_stream->write(m_begin);
            write();
            return;
        }
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
        if (isClosed() || m_written >= maxWrittenBytes)
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

TEST_CASE("relay: an upstream that announces its shutdown in an answer gets no further request")
{
    relay_fixture fixture;
    auto& leaving = addLeaving(fixture);
    auto& first = fixture.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(fixture.ended(first));
    CHECK(first.status() == 200);
    auto& healthy = fixture.addUpstream("u2");
    answerAll(healthy);
    for (int call = 0; call < 6; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 200);
    }
    CHECK(leaving.requests.size() == 1);
    CHECK(healthy.requests.size() == 6);
}

TEST_CASE("relay: an upstream that is shutting down is not used again when the list loses and regains it")
{
    relay_fixture fixture;
    auto& leaving = addLeaving(fixture);
    auto& first = fixture.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(fixture.ended(first));
    fixture.tested.onUpstreams({});
    fixture.publishUpstreams();
    auto& second = fixture.addCaller();
    second.request("GET", "/safe/a");
    REQUIRE(fixture.ended(second));
    CHECK(second.status() == 503);
    CHECK(leaving.requests.size() == 1);
    // A new process under the same id is another upstream.
    auto entry = leaving.entry();
    entry.startedAt += 1000;
    fixture.tested.onUpstreams({ { entry.id, entry } });
    auto& third = fixture.addCaller();
    third.request("GET", "/safe/a");
    REQUIRE(fixture.ended(third));
    CHECK(third.status() == 200);
}

TEST_CASE(
    "relay: an upstream that requests a backoff gets no requests until it ends, and callers get Retry-After")
{
    relay_fixture fixture;
    auto& busy = fixture.addUpstream("u1");
    busy.onRequest = [&](const request& asked) {
        if (busy.requests.size() == 1)
            asked.stream->write(answerWithField(asked, 503, "Retry-After: 0.9\r\nNot-Run: 1", "full"));
        else
            asked.stream->write(scripted_upstream::answer(asked, 200, "ok"));
    };
    auto& first = fixture.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(fixture.ended(first));
    CHECK(first.status() == 503);
    const monotonic_time backoffStart = monotonicNow();
    for (int call = 0; call < 4; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 503);
        CHECK(caller.has("not_run"));
        CHECK(caller.has("Retry-After: "));
    }
    CHECK(busy.requests.size() == 1);
    REQUIRE(loopUntil(fixture.loop, [&] { return monotonicNow() - backoffStart > milliseconds(950); }));
    auto& later = fixture.addCaller();
    later.request("GET", "/safe/a");
    REQUIRE(fixture.ended(later));
    CHECK(later.status() == 200);
}

TEST_CASE("relay: an upstream that states a request limit gets a request only for credit")
{
    relay_fixture fixture;
    auto& limited = addLimited(fixture);
    auto& first = fixture.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(fixture.ended(first));
    CHECK(first.status() == 200);
    // Without credit the request is refused, with the retry time that the coordinator names.
    auto& refused = fixture.addCaller();
    refused.request("GET", "/safe/a");
    REQUIRE(fixture.ended(refused));
    CHECK(refused.status() == 503);
    CHECK(refused.has("not_run"));
    const std::string name = "Retry-After: ";
    REQUIRE(refused.has(name));
    CHECK(std::stod(refused.text().substr(refused.text().find(name) + name.size())) >= 0.9);
    CHECK(limited.requests.size() == 1);
    REQUIRE(loopUntil(fixture.loop,
        [&] { return fixture.tested.sendCredit().refusedFor("u1", bootTimeNow()) == milliseconds(0); }));
    fixture.sendCreditPerRequest = 1;
    auto& granted = fixture.addCaller();
    granted.request("GET", "/safe/a");
    REQUIRE(fixture.ended(granted));
    CHECK(granted.status() == 200);
    CHECK(limited.requests.size() == 2);
}

TEST_CASE("relay: without a coordinator a request that only a limited upstream can take is refused at once")
{
    relay_fixture fixture;
    auto& limited = addLimited(fixture);
    auto& first = fixture.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(fixture.ended(first));
    fixture.hasCoordinator = false;
    const monotonic_time sentAt = monotonicNow();
    auto& refused = fixture.addCaller();
    refused.request("GET", "/safe/a");
    REQUIRE(fixture.ended(refused));
    CHECK(refused.status() == 503);
    // A request that waits for credit would wait longer.
    CHECK(monotonicNow() - sentAt < milliseconds(250));
    CHECK(limited.requests.size() == 1);
}

TEST_CASE("relay: an upstream without a limit takes the requests for which another lacks credit")
{
    relay_fixture fixture;
    auto& limited = addLimited(fixture);
    auto& first = fixture.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(fixture.ended(first));
    auto& other = fixture.addUpstream("u2");
    answerAll(other);
    for (int call = 0; call < 6; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 200);
    }
    CHECK(limited.requests.size() == 1);
    CHECK(other.requests.size() == 6);
}

TEST_CASE("relay: an upstream whose answer no longer states a limit gets requests without credit")
{
    relay_fixture fixture;
    auto& limited = addLimited(fixture);
    auto& first = fixture.addCaller();
    first.request("GET", "/safe/a");
    REQUIRE(fixture.ended(first));
    answerAll(limited);
    fixture.sendCreditPerRequest = 1;
    for (int call = 0; call < 4; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 200);
        fixture.sendCreditPerRequest = 0;
    }
    CHECK(limited.requests.size() == 5);
}

TEST_CASE("relay: an endless answer without a request id is cut off at a bound and refused with 502")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    endless_writer writer(upstream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(8192));
    auto& caller = fixture.addCaller();
    caller.request("POST", "/unsafe/a", "", "x");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 502);
    CHECK(caller.has("may_have_run"));
    CHECK(loopUntil(fixture.loop, [&] { return writer.isClosed(); }));
    CHECK(writer.written() < maxWrittenBytes / 8);
}

TEST_CASE("relay: an endless error answer is cut off at a bound")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    endless_writer writer(
        upstream, "HTTP/1.1 500 X\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(8192));
    auto& caller = fixture.addCaller();
    caller.request("POST", "/stream/a", "", "x");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 502);
    CHECK(loopUntil(fixture.loop, [&] { return writer.isClosed(); }));
    CHECK(writer.written() < maxWrittenBytes / 8);
}

TEST_CASE("relay: an endless answer to another request is cut off at a bound")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    endless_writer writer(upstream,
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        chunkOf(8192));
    auto& caller = fixture.addCaller();
    caller.request("POST", "/unsafe/a", "", "x");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 502);
    CHECK_FALSE(caller.has("xxxx"));
    CHECK(writer.written() < maxWrittenBytes / 8);
}

// Guards against an upstream whose answers never end and that keeps its share of the requests, each of which
// waits for its deadline.
TEST_CASE("relay: an upstream whose answers never end gets few requests beside one whose answers do")
{
    relay_fixture fixture;
    auto& endless = fixture.addUpstream("u1");
    auto& healthy = fixture.addUpstream("u2");
    answerAll(healthy);
    std::deque<endless_writer> writers;
    endless.onRequest = [&](const request& asked) {
        writers.emplace_back(endless,
            "HTTP/1.1 200 OK\r\nRequest-Id: " + asked.get("Request-Id")
                + "\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
            chunkOf(8192), asked.stream);
    };
    for (int call = 0; call < 40; ++call) {
        auto& caller = fixture.addCaller();
        caller.send("POST /unsafe/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r" + std::to_string(call)
            + "\r\nKey: key-1\r\nDeadline-Ms: 120\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(loopUntil(
            fixture.loop, [&] { return caller.isClosed() || caller.text().ends_with("\r\n\r\nok"); }));
    }
    CHECK(healthy.requests.size() + endless.requests.size() == 40);
    CHECK(endless.requests.size() < 8);
}

// Guards against a request that waits for its deadline on a connection whose reading was paused for the slow
// caller of the one before.
TEST_CASE("relay: a connection that was paused for a slow caller is read again for the next request")
{
    // Answers that end in the piece with which the relay's buffer for the caller becomes full.
    for (const std::size_t size : { 262200U, 266000U, 270000U, 274000U }) {
        CAPTURE(size);
        relay_fixture fixture;
        auto& upstream = fixture.addUpstream("u1");
        upstream.onRequest = [size](const request& asked) {
            asked.stream->write(scripted_upstream::answer(asked, 200, std::string(size, 'x')));
        };
        auto& slow = fixture.addCaller();
        slow.request("POST", "/unsafe/a");
        REQUIRE(fixture.ended(slow));
        answerAll(upstream);
        auto& caller = fixture.addCaller();
        caller.send("POST /unsafe/b HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: key-1\r\n"
                    "Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 200);
    }
}

TEST_CASE("relay: an endless answer head is cut off at a bound")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    endless_writer writer(upstream, "HTTP/1.1 200 OK\r\n", "X-More: " + std::string(1000, 'x') + "\r\n");
    auto& caller = fixture.addCaller();
    caller.request("POST", "/unsafe/a", "", "x");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 502);
    CHECK(loopUntil(fixture.loop, [&] { return writer.isClosed(); }));
    CHECK(writer.written() < maxWrittenBytes / 8);
}

TEST_CASE("relay: idle connections that an upstream closes before its keep-alive timeout cost no request")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    upstream.onRequest = [](const request& asked) {
        asked.stream->write(answerWithField(asked, 200, "Keep-Alive: timeout=60", "ok"));
    };
    for (int call = 0; call < 20; ++call) {
        // Non-idempotent: a lost call would not be retried.
        auto& caller = fixture.addCaller();
        caller.request("POST", "/unsafe/a");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 200);
        upstream.cutAll();
        loopFor(fixture.loop, milliseconds(5));
    }
    CHECK(upstream.accepted == 20);
}

TEST_CASE("relay: a request that meets a closing connection is retried if idempotent, otherwise may_have_run")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    int arrived = 0;
    upstream.onRequest = [&](const request& asked) {
        // Every second request meets the close of the connection that the request before it left idle.
        if (++arrived % 2 == 0)
            upstream.cut(asked.stream);
        else
            asked.stream->write(scripted_upstream::answer(asked, 200, "ok"));
    };
    const auto call = [&](const std::string& method, const std::string& path) -> scripted_caller& {
        auto& caller = fixture.addCaller();
        caller.request(method, path);
        REQUIRE(fixture.ended(caller));
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

TEST_CASE("relay: while an upstream flaps, idempotent calls are answered and few are sent to it")
{
    relay_fixture fixture;
    auto& flapping = fixture.addUpstream("u1");
    auto& healthy = fixture.addUpstream("u2");
    answerAll(healthy);
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
        auto& caller = fixture.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 200);
    }
    // Without the failure ratio the upstream would lose half of the 50 calls that are made while it is down.
    CHECK(lost <= 10);
}
