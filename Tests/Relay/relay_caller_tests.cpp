#include "Relay/relay_fixture.h"

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

/// Callers whose bytes reach the relay's host while its loop stands still.
class blocking_callers {
public:
    blocking_callers(std::uint16_t port, int count)
    {
        sockaddr_in where {};
        where.sin_family = AF_INET;
        where.sin_port = htons(port);
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (int index = 0; index < count; ++index) {
            const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            REQUIRE(::connect(made, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) == 0);
            m_sockets.push_back(made);
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

    /// Reads what came.
    /// \return callers that have had an answer, a refusal too, since they sent
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

// More than the loop takes in at one look, and fewer than the relay accepts.
constexpr int manyCallers = 90;
const std::string openRequest
    = "GET /open/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 9000\r\n\r\n";

} // namespace

TEST_CASE("relay: routes, keys and configurations decide before anything is sent")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    const auto statusOf = [&](const std::string& text) {
        auto& caller = world.addCaller();
        caller.send(text);
        REQUIRE(world.ended(caller));
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
    decision_lines lines(2, log_level::Error);
    metric_registry metrics;
    relay_telemetry watch { lines, metrics };
    relay tested(loop, {}, watch, {});
    tcp_listener listener(loop, { "127.0.0.1", 0 }, [&](evutil_socket_t socket) { tested.accept(socket); });
    CHECK_FALSE(tested.isReady());
    scripted_caller caller(loop, listener.port());
    caller.request("GET", "/safe/a");
    REQUIRE(loopUntil(loop, [&] { return caller.status() != 0; }));
    CHECK(caller.status() == 503);
    CHECK(caller.has("not_run"));
}

TEST_CASE("relay: with as many callers as there is room for, the longest idle connection makes way")
{
    relay_fixture world;
    for (int caller = 0; caller < 100; ++caller) {
        auto& added = world.addCaller();
        added.request("GET", "/none/");
        REQUIRE(world.ended(added));
    }
    auto& next = world.addCaller();
    next.request("GET", "/none/");
    REQUIRE(world.ended(next));
    CHECK(next.status() == 404);
    CHECK(loopUntil(world.loop, [&] { return world.callers.at(0).isClosed(); }));
    CHECK_FALSE(world.callers.at(1).isClosed());
}

TEST_CASE("relay: a key that was withdrawn stops on an open connection, and while its request waits")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1", { { "m1", {} } });
    answerAll(upstream);
    auto& caller = world.addCaller();
    caller.request("GET", "/safe/a");
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 200);
    auto& waiting = world.addCaller();
    waiting.request("POST", "/resume/a", "Model: m1/a1\r\nToken-Counts: 10,10\r\n");
    REQUIRE(loopUntil(world.loop, [&] { return world.tested.waiting() == 1; }));
    fleet_config without = relay_fixture::config(2);
    without.teams.at(0).keys = { "key-2" };
    world.tested.onConfig(std::make_shared<fleet_config>(without));
    REQUIRE(world.ended(waiting));
    CHECK(waiting.status() == 401);
    caller.request("GET", "/safe/b");
    REQUIRE(loopUntil(world.loop, [&] { return caller.has("401"); }));
    CHECK(upstream.requests.size() == 1);
}

TEST_CASE("relay: an older configuration never replaces a newer one")
{
    relay_fixture world;
    world.tested.onConfig(std::make_shared<fleet_config>(relay_fixture::config(5)));
    fleet_config older = relay_fixture::config(4);
    older.routes.clear();
    world.tested.onConfig(std::make_shared<fleet_config>(older));
    CHECK(world.tested.table()->config().version == 5);
    CHECK(world.tested.table()->config().routes.size() == 5);
}

TEST_CASE(
    "relay: without evidence that the configuration is the newest, keys are refused and open routes served")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    answerAll(upstream);
    relay stale(world.loop, { "z", milliseconds(0), 0.5, 50, 100 }, world.watch, {});
    stale.onConfig(std::make_shared<fleet_config>(relay_fixture::config(1)));
    stale.onConfigConfirmed(suspendedNow());
    stale.onUpstreams({ { "u1", upstream.entry() } });
    tcp_listener listener(
        world.loop, { "127.0.0.1", 0 }, [&](evutil_socket_t socket) { stale.accept(socket); });
    CHECK_FALSE(stale.isReady());
    scripted_caller keyed(world.loop, listener.port());
    keyed.request("GET", "/safe/a");
    REQUIRE(loopUntil(world.loop, [&] { return keyed.status() != 0; }));
    CHECK(keyed.status() == 503);
    CHECK(keyed.has("keys_not_proven"));
    scripted_caller open(world.loop, listener.port());
    open.request("GET", "/open/a");
    REQUIRE(loopUntil(world.loop, [&] { return open.status() != 0; }));
    CHECK(open.status() == 200);
}

TEST_CASE("relay: beyond its limit a team is refused with the time to come back")
{
    relay_fixture world;
    world.addUpstream("u1");
    world.grantsCredit = false;
    auto& caller = world.addCaller();
    caller.request("GET", "/safe/a");
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 429);
    CHECK(caller.has("Retry-After: 1.50"));
}

TEST_CASE("relay: a caller that leaves ends the work at its upstream")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    auto& caller = world.addCaller();
    caller.request("POST", "/stream/a", "", "x");
    REQUIRE(loopUntil(world.loop, [&] { return upstream.requests.size() == 1; }));
    upstream.requests.at(0).stream->write(
        scripted_upstream::streamHead(upstream.requests.at(0)) + scripted_upstream::event(1, "one"));
    REQUIRE(loopUntil(world.loop, [&] { return caller.has("data: one"); }));
    CHECK(upstream.openStreams == 1);
    caller.leave();
    CHECK(loopUntil(world.loop, [&] { return upstream.openStreams == 0; }));
    CHECK(world.tested.isIdle());
}

TEST_CASE("relay: the deadline ends a request that may have run with 504")
{
    relay_fixture world;
    world.addUpstream("u1");
    auto& caller = world.addCaller();
    caller.send("POST /unsafe/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: key-1\r\nDeadline-Ms: "
                "150\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 504);
    CHECK(caller.has("may_have_run"));
}

TEST_CASE("relay: a draining upstream gets no new request")
{
    relay_fixture world;
    auto& leaving = world.addUpstream("u1");
    auto& staying = world.addUpstream("u2");
    for (auto* upstream : { &leaving, &staying })
        answerAll(*upstream);
    std::map<std::string, upstream_entry> entries;
    for (const auto& upstream : world.upstreams) {
        auto entry = upstream.entry();
        entry.isDraining = entry.id == "u1";
        entries.emplace(entry.id, entry);
    }
    world.tested.onUpstreams(entries);
    for (int call = 0; call < 5; ++call) {
        auto& caller = world.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(world.ended(caller));
    }
    CHECK(leaving.requests.empty());
    CHECK(staying.requests.size() == 5);
}

TEST_CASE("relay: while draining, running work ends, answers close their connections and late requests are "
          "declined")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    auto& idle = world.addCaller();
    idle.request("GET", "/none/");
    REQUIRE(world.ended(idle));
    auto& running = world.addCaller();
    running.request("GET", "/safe/a");
    REQUIRE(loopUntil(world.loop, [&] { return upstream.requests.size() == 1; }));
    world.tested.drain();
    CHECK_FALSE(world.tested.isReady());
    CHECK_FALSE(world.tested.isIdle());
    CHECK(loopUntil(world.loop, [&] { return idle.isClosed(); }));
    upstream.requests.at(0).stream->write(scripted_upstream::answer(upstream.requests.at(0), 200, "done"));
    REQUIRE(loopUntil(world.loop, [&] { return running.has("done") && running.isClosed(); }));
    CHECK(running.has("Connection: close"));
    world.tested.rejectNewRequests();
    auto& late = world.addCaller();
    late.request("GET", "/safe/b");
    REQUIRE(world.ended(late));
    CHECK(late.status() == 503);
    CHECK(late.has("not_run"));
    CHECK(loopUntil(world.loop, [&] { return world.tested.isIdle(); }));
}

TEST_CASE("relay: a caller that does not read holds its upstream back, and memory stays bounded")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    // A caller that sends its request and then never reads.
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(world.listener.port());
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0);
    const std::string text
        = "POST /stream/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: key-1\r\nContent-Length: 0\r\n\r\n";
    REQUIRE(::send(socket, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    REQUIRE(loopUntil(world.loop, [&] { return upstream.requests.size() == 1; }));
    tcp_stream* const stream = upstream.requests.at(0).stream;
    stream->write(scripted_upstream::streamHead(upstream.requests.at(0)));
    const std::string event = scripted_upstream::event(1, std::string(10000, 'x'));
    // More than the sockets' own buffers hold.
    for (int count = 0; count < 3000; ++count)
        stream->write(event);
    loopFor(world.loop, milliseconds(300));
    CHECK(stream->unwritten() > 0);
    ::close(socket);
    CHECK(loopUntil(world.loop, [&] { return upstream.openStreams == 0; }));
}

TEST_CASE(
    "relay: requests that came while the process stood still are answered, though idle time ran out too")
{
    relay_fixture world;
    auto quick = relay_fixture::config(2);
    quick.limits.idleTimeout = milliseconds(400);
    world.tested.onConfig(std::make_shared<fleet_config>(quick));
    auto& upstream = world.addUpstream("u1");
    answerAll(upstream);
    blocking_callers callers(world.listener.port(), manyCallers);
    callers.send(openRequest);
    REQUIRE(loopUntil(world.loop, [&] { return callers.answered() == manyCallers; }));
    // In time, but the loop turns again only after the connections' time.
    callers.send(openRequest);
    const monotonic_time stoodUntil = monotonicNow() + milliseconds(500);
    while (monotonicNow() < stoodUntil)
        ::usleep(1000);
    CHECK(loopUntil(world.loop, [&] { return callers.answered() == manyCallers; }));
}

TEST_CASE("relay: connections may stay idle as long as the newest configuration says")
{
    relay_fixture world;
    auto config = relay_fixture::config(2);
    config.limits.idleTimeout = milliseconds(200);
    world.tested.onConfig(std::make_shared<fleet_config>(config));
    auto& upstream = world.addUpstream("u1");
    answerAll(upstream);
    blocking_callers callers(world.listener.port(), manyCallers);
    callers.send(openRequest);
    REQUIRE(loopUntil(world.loop, [&] { return callers.answered() == manyCallers; }));
    config.version = 3;
    config.limits.idleTimeout = seconds(30);
    world.tested.onConfig(std::make_shared<fleet_config>(config));
    loopFor(world.loop, milliseconds(500));
    callers.send(openRequest);
    CHECK(loopUntil(world.loop, [&] { return callers.answered() == manyCallers; }));
    config.version = 4;
    config.limits.idleTimeout = milliseconds(50);
    world.tested.onConfig(std::make_shared<fleet_config>(config));
    callers.send(openRequest);
    CHECK(loopUntil(world.loop, [&] { return callers.answered() == manyCallers; }));
}

TEST_CASE("relay: requests that came right before a planned stop are answered")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    answerAll(upstream);
    blocking_callers callers(world.listener.port(), manyCallers);
    callers.send(openRequest);
    REQUIRE(loopUntil(world.loop, [&] { return callers.answered() == manyCallers; }));
    callers.send(openRequest);
    world.tested.drain();
    CHECK(loopUntil(world.loop, [&] { return callers.answered() == manyCallers; }));
}
