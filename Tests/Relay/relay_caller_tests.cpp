#include "Relay/relay_fixture.h"
#include "Support/test_time.h"

#include "Support/test_time.h"
#include <algorithm>
#include <arpa/inet.h>
#include <array>

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

using namespace sagesaddle;

namespace {

using request = scripted_upstream::request;

/// Callers with blocking sockets: their bytes reach the relay's host even while its loop does not run.
class blocking_callers {
public:
    blocking_callers(std::uint16_t port, int count)
    {
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(port);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (int index = 0; index < count; ++index) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0);
            m_sockets.push_back(socket);
        }
    }
    ~blocking_callers()
    {
        for (const int socket : m_sockets)
            ::close(socket);
    }
    blocking_callers(const blocking_callers&) = delete;
    blocking_callers& operator=(const blocking_callers&) = delete;

    void send(const std::string& text)
    {
        for (const int socket : m_sockets)
            REQUIRE(::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == std::ssize(text));
        m_answered.assign(m_sockets.size(), false);
    }

    /// Reads what has arrived.
    /// \return number of callers that got an answer or a refusal to what they sent last
    std::ptrdiff_t answered()
    {
        for (std::size_t index = 0; index < m_sockets.size(); ++index) {
            std::array<char, 4096> bytes {};
            const auto size = ::recv(m_sockets[index], bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (size > 0
                && std::string_view(bytes.data(), static_cast<std::size_t>(size)).starts_with("HTTP/1.1 "))
                m_answered[index] = true;
        }
        return std::count(m_answered.begin(), m_answered.end(), true);
    }

private:
    std::vector<int> m_sockets;
    std::vector<bool> m_answered;
};

// More connections than the loop reads in one turn, and fewer than the relay accepts.
constexpr int manyCallers = 90;
const std::string openRequest
    = "GET /open/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 9000\r\n\r\n";

} // namespace

TEST_CASE("relay: unknown routes, unknown keys and malformed requests are refused before anything is sent")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    const auto statusOf = [&](const std::string& text) {
        auto& caller = fixture.addCaller();
        caller.send(text);
        REQUIRE(fixture.ended(caller));
        return caller.status();
    };
    CHECK(statusOf("GET /none/ HTTP/1.1\r\nHost: h\r\nKey: key-1\r\n\r\n") == 404);
    CHECK(statusOf("GET /safe/ HTTP/1.1\r\nHost: other\r\nKey: key-1\r\n\r\n") == 404);
    CHECK(statusOf("GET /safe/ HTTP/1.1\r\nHost: h\r\nKey: key-2\r\n\r\n") == 401);
    CHECK(statusOf("GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n") == 401);
    CHECK(statusOf("GET /safe/ HTTP/1.1\r\nHost: h\r\nKey: key-1\r\nKey: key-2\r\n\r\n") == 400);
    CHECK(statusOf("GET /safe/ HTTP/1.1\r\nHost: h\r\nKey: key-1\r\nDeadline-Ms: x\r\n\r\n") == 400);
    CHECK(statusOf("POST /safe/ HTTP/1.1\r\nHost: h\r\nKey: key-1\r\nContent-Length: 1\r\nContent-Length: "
                   "2\r\n\r\na")
        == 400);
    CHECK(statusOf("GET /safe/ HTTP/1.1\r\nHost: h\r\nX: " + std::string(20000, 'a') + "\r\n\r\n") == 431);
    CHECK(upstream.requests.empty());
}

TEST_CASE("relay: before any configuration is known, requests are refused as not run")
{
    event_loop loop;
    decision_logger lines(2, log_level::Error);
    metric_registry metrics;
    relay_telemetry telemetry { lines, metrics };
    relay tested(loop, {}, telemetry, {});
    tcp_listener listener(loop, { "127.0.0.1", 0 }, [&](evutil_socket_t socket) { tested.accept(socket); });
    CHECK_FALSE(tested.isReady());
    scripted_caller caller(loop, listener.port());
    caller.request("GET", "/safe/a");
    REQUIRE(loopUntil(loop, [&] { return caller.status() != 0; }));
    CHECK(caller.status() == 503);
    CHECK(caller.has("not_run"));
}

TEST_CASE(
    "relay: at the maximum number of callers, the connection that was idle longest is closed for a new one")
{
    relay_fixture fixture;
    for (int caller = 0; caller < 100; ++caller) {
        auto& added = fixture.addCaller();
        added.request("GET", "/none/");
        REQUIRE(fixture.ended(added));
    }
    auto& next = fixture.addCaller();
    next.request("GET", "/none/");
    REQUIRE(fixture.ended(next));
    CHECK(next.status() == 404);
    CHECK(loopUntil(fixture.loop, [&] { return fixture.callers.at(0).isClosed(); }));
    CHECK_FALSE(fixture.callers.at(1).isClosed());
}

TEST_CASE("relay: a withdrawn key is refused on an open connection, and while its request waits")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1", { { "m1", {} } });
    answerAll(upstream);
    auto& caller = fixture.addCaller();
    caller.request("GET", "/safe/a");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 200);
    auto& waiting = fixture.addCaller();
    waiting.request("POST", "/resume/a", "Model: m1/a1\r\nToken-Counts: 10,10\r\n");
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.tested.waiting() == 1; }));
    fleet_config withdrawn = relay_fixture::config(2);
    withdrawn.teams.at(0).apiKeys = { "key-2" };
    fixture.tested.onConfig(std::make_shared<fleet_config>(withdrawn));
    REQUIRE(fixture.ended(waiting));
    CHECK(waiting.status() == 401);
    caller.request("GET", "/safe/b");
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("401"); }));
    CHECK(upstream.requests.size() == 1);
}

TEST_CASE("relay: an older configuration never replaces a newer one")
{
    relay_fixture fixture;
    fixture.tested.onConfig(std::make_shared<fleet_config>(relay_fixture::config(5)));
    fleet_config older = relay_fixture::config(4);
    older.routes.clear();
    fixture.tested.onConfig(std::make_shared<fleet_config>(older));
    CHECK(fixture.tested.table()->config().version == 5);
    CHECK(fixture.tested.table()->config().routes.size() == 5);
}

TEST_CASE("relay: without a recent confirmation of the configuration, only public routes are served")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    answerAll(upstream);
    relay unconfirmed(fixture.loop, { "z", milliseconds(0), 0.5, 50, 100 }, fixture.telemetry, {});
    unconfirmed.onConfig(std::make_shared<fleet_config>(relay_fixture::config(1)));
    unconfirmed.onConfigConfirmed(bootTimeNow());
    unconfirmed.onUpstreams({ { "u1", upstream.entry() } });
    tcp_listener listener(
        fixture.loop, { "127.0.0.1", 0 }, [&](evutil_socket_t socket) { unconfirmed.accept(socket); });
    CHECK_FALSE(unconfirmed.isReady());
    scripted_caller keyed(fixture.loop, listener.port());
    keyed.request("GET", "/safe/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return keyed.status() != 0; }));
    CHECK(keyed.status() == 503);
    CHECK(keyed.has("keys_not_proven"));
    scripted_caller open(fixture.loop, listener.port());
    open.request("GET", "/open/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return open.status() != 0; }));
    CHECK(open.status() == 200);
}

TEST_CASE("relay: a team over its rate limit is refused with Retry-After")
{
    relay_fixture fixture;
    fixture.addUpstream("u1");
    fixture.grantsCredit = false;
    auto& caller = fixture.addCaller();
    caller.request("GET", "/safe/a");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 429);
    CHECK(caller.has("Retry-After: 1.50"));
}

TEST_CASE("relay: a caller that disconnects ends the work at its upstream")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    auto& caller = fixture.addCaller();
    caller.request("POST", "/stream/a", "", "x");
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
    upstream.requests.at(0).stream->write(
        scripted_upstream::streamHead(upstream.requests.at(0)) + scripted_upstream::event(1, "one"));
    REQUIRE(loopUntil(fixture.loop, [&] { return caller.has("data: one"); }));
    CHECK(upstream.openStreams == 1);
    caller.leave();
    CHECK(loopUntil(fixture.loop, [&] { return upstream.openStreams == 0; }));
    CHECK(fixture.tested.isIdle());
}

TEST_CASE("relay: the deadline ends a request that may have run with 504")
{
    relay_fixture fixture;
    fixture.addUpstream("u1");
    auto& caller = fixture.addCaller();
    caller.send("POST /unsafe/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: key-1\r\nDeadline-Ms: "
                "150\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 504);
    CHECK(caller.has("may_have_run"));
}

TEST_CASE("relay: a draining upstream gets no new request")
{
    relay_fixture fixture;
    auto& leaving = fixture.addUpstream("u1");
    auto& staying = fixture.addUpstream("u2");
    for (auto* upstream : { &leaving, &staying })
        answerAll(*upstream);
    std::map<std::string, upstream_entry> entries;
    for (const auto& upstream : fixture.upstreams) {
        auto entry = upstream.entry();
        entry.isDraining = entry.id == "u1";
        entries.emplace(entry.id, entry);
    }
    fixture.tested.onUpstreams(entries);
    for (int call = 0; call < 5; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(fixture.ended(caller));
    }
    CHECK(leaving.requests.empty());
    CHECK(staying.requests.size() == 5);
}

TEST_CASE("relay: while draining, running work ends, answers close their connections and late requests are "
          "declined")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    auto& idle = fixture.addCaller();
    idle.request("GET", "/none/");
    REQUIRE(fixture.ended(idle));
    auto& running = fixture.addCaller();
    running.request("GET", "/safe/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
    fixture.tested.drain(drain_schedule(monotonicNow(), seconds(8)));
    CHECK_FALSE(fixture.tested.isReady());
    CHECK_FALSE(fixture.tested.isIdle());
    // A request that is on its way on an idle connection is answered, and ends the connection.
    idle.request("GET", "/safe/c");
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 2; }));
    upstream.requests.at(1).stream->write(
        scripted_upstream::answer(upstream.requests.at(1), 200, "served late"));
    CHECK(loopUntil(fixture.loop, [&] { return idle.has("served late") && idle.isClosed(); }));
    upstream.requests.at(0).stream->write(scripted_upstream::answer(upstream.requests.at(0), 200, "done"));
    REQUIRE(loopUntil(fixture.loop, [&] { return running.has("done") && running.isClosed(); }));
    CHECK(running.has("Connection: close"));
    fixture.tested.drain(drain_schedule(monotonicNow() - seconds(5), seconds(8)));
    auto& late = fixture.addCaller();
    late.request("GET", "/safe/b");
    REQUIRE(fixture.ended(late));
    CHECK(late.status() == 503);
    CHECK(late.has("not_run"));
    CHECK(loopUntil(fixture.loop, [&] { return fixture.tested.isIdle(); }));
}

// Guards against requests that wait, are passed on late in the grace and are cut at its end.
TEST_CASE(
    "relay: while draining, a request that still waits when no more are taken is refused and never sent")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1", { { "m1", {} } });
    auto& waiting = fixture.addCaller();
    waiting.request("POST", "/resume/a", "Model: m1/a1\r\nToken-Counts: 50,20\r\n");
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.tested.waiting() == 1; }));
    fixture.tested.drain(drain_schedule(monotonicNow() - seconds(5), seconds(8)));
    REQUIRE(fixture.ended(waiting));
    CHECK(waiting.status() == 503);
    CHECK(waiting.has("draining"));
    CHECK(waiting.has("not_run"));
    fixture.tested.onLoadedModels("u1", { { "m1", "m1/a1" }, {}, false });
    loopFor(fixture.loop, milliseconds(50));
    CHECK(upstream.requests.empty());
}

// Guards against requests that are taken in time and last longer than the process.
TEST_CASE("relay: while draining, a request that usually takes longer than what is left is refused at once")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1", { { "m1", {} } });
    auto& first = fixture.addCaller();
    const std::string model = "Model: m1\r\nToken-Counts: 50,20\r\n";
    first.request("POST", "/stream/a", model);
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
    upstream.requests.at(0).stream->write(
        scripted_upstream::streamHead(upstream.requests.at(0)) + scripted_upstream::event(1, "one"));
    loopFor(fixture.loop, milliseconds(400));
    upstream.requests.at(0).stream->write(std::string(lastChunk));
    REQUIRE(loopUntil(fixture.loop, [&] { return first.text().ends_with(lastChunk); }));
    // 700 ms are left, of which a request may take half.
    fixture.tested.drain(drain_schedule(monotonicNow(), milliseconds(1000)));
    auto& tooLong = fixture.addCaller();
    tooLong.request("POST", "/stream/b", model);
    REQUIRE(fixture.ended(tooLong));
    CHECK(tooLong.status() == 503);
    CHECK(tooLong.has("not_run"));
    answerAll(upstream);
    auto& brief = fixture.addCaller();
    brief.request("POST", "/unsafe/c");
    REQUIRE(fixture.ended(brief));
    CHECK(brief.status() == 200);
    CHECK(upstream.requests.size() == 2);
}

TEST_CASE("drain schedule: requests are taken until their usual duration no longer fits before the exit")
{
    using testing::start;
    const drain_schedule drain(start, seconds(8));
    CHECK(drain.exitAt() < start + seconds(8));
    CHECK(drain.admits(start, {}));
    CHECK(drain.admits(start + milliseconds(2499), seconds(1)));
    CHECK_FALSE(drain.admits(start + milliseconds(2500), {}));
    CHECK(drain.admits(start, milliseconds(3800)));
    CHECK_FALSE(drain.admits(start, milliseconds(3900)));
    CHECK_FALSE(drain.admits(start + seconds(2), milliseconds(2900)));
    // With a short grace the first half of it is for callers that are not routed elsewhere yet.
    const drain_schedule brief(start, milliseconds(1000));
    CHECK(brief.admits(start + milliseconds(499), {}));
    CHECK_FALSE(brief.admits(start + milliseconds(500), {}));
}

TEST_CASE("relay: while a caller does not read, its upstream is paused, so that memory stays bounded")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    // This caller sends its request and never reads.
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(fixture.listener.port());
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0);
    const std::string text
        = "POST /stream/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: key-1\r\nContent-Length: 0\r\n\r\n";
    REQUIRE(::send(socket, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == 1; }));
    tcp_stream* const stream = upstream.requests.at(0).stream;
    stream->write(scripted_upstream::streamHead(upstream.requests.at(0)));
    const std::string event = scripted_upstream::event(1, std::string(10000, 'x'));
    // More bytes than the sockets' buffers hold.
    for (int count = 0; count < 3000; ++count)
        stream->write(event);
    loopFor(fixture.loop, milliseconds(300));
    CHECK(stream->unwritten() > 0);
    ::close(socket);
    CHECK(loopUntil(fixture.loop, [&] { return upstream.openStreams == 0; }));
}

TEST_CASE(
    "relay: requests that arrived while the process was suspended are answered, even after the idle timeout")
{
    relay_fixture fixture;
    auto config = relay_fixture::config(2);
    config.limits.idleTimeout = milliseconds(400);
    fixture.tested.onConfig(std::make_shared<fleet_config>(config));
    auto& upstream = fixture.addUpstream("u1");
    answerAll(upstream);
    blocking_callers callers(fixture.listener.port(), manyCallers);
    callers.send(openRequest);
    REQUIRE(loopUntil(fixture.loop, [&] { return callers.answered() == manyCallers; }));
    // The requests arrive in time, but the loop does not run until the idle timeout is over.
    callers.send(openRequest);
    const monotonic_time suspendedUntil = monotonicNow() + milliseconds(500);
    while (monotonicNow() < suspendedUntil)
        ::usleep(1000);
    CHECK(loopUntil(fixture.loop, [&] { return callers.answered() == manyCallers; }));
}

TEST_CASE("relay: connections may stay idle as long as the newest configuration says")
{
    relay_fixture fixture;
    auto config = relay_fixture::config(2);
    config.limits.idleTimeout = milliseconds(200);
    fixture.tested.onConfig(std::make_shared<fleet_config>(config));
    auto& upstream = fixture.addUpstream("u1");
    answerAll(upstream);
    blocking_callers callers(fixture.listener.port(), manyCallers);
    callers.send(openRequest);
    REQUIRE(loopUntil(fixture.loop, [&] { return callers.answered() == manyCallers; }));
    config.version = 3;
    config.limits.idleTimeout = seconds(30);
    fixture.tested.onConfig(std::make_shared<fleet_config>(config));
    loopFor(fixture.loop, milliseconds(500));
    callers.send(openRequest);
    CHECK(loopUntil(fixture.loop, [&] { return callers.answered() == manyCallers; }));
    config.version = 4;
    config.limits.idleTimeout = milliseconds(50);
    fixture.tested.onConfig(std::make_shared<fleet_config>(config));
    callers.send(openRequest);
    CHECK(loopUntil(fixture.loop, [&] { return callers.answered() == manyCallers; }));
}

TEST_CASE("relay: requests that arrived right before a drain are answered")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    answerAll(upstream);
    blocking_callers callers(fixture.listener.port(), manyCallers);
    callers.send(openRequest);
    REQUIRE(loopUntil(fixture.loop, [&] { return callers.answered() == manyCallers; }));
    callers.send(openRequest);
    fixture.tested.drain(drain_schedule(monotonicNow(), seconds(8)));
    CHECK(loopUntil(fixture.loop, [&] { return callers.answered() == manyCallers; }));
}
