#include "Agree/fake_log_server.h"
#include "Agree/fleet_follower.h"
#include "Record/state_json.h"
#include "Support/until.h"

#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <mutex>
#include <set>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr seconds timeout { 20 };

bool eventually(const std::function<bool()>& condition)
{
    return until(condition, timeout);
}

// Followers that send each other messages by function calls, unless one is disconnected.
class connected_followers {
public:
    fleet_follower& start(
        const std::string& name, const address& log, std::vector<std::string> seedPeers = {})
    {
        fleet_follower::options options { .log = log, .self = name };
        options.seedPeers = std::move(seedPeers);
        options.memberExpiry = milliseconds(2000);
        options.run = ++m_lastRun;
        auto follower = std::make_shared<fleet_follower>(
            options,
            [this, name](const std::string& peer, const message& value) {
                return deliver(name, peer, std::get<tail_request>(value));
            },
            [this, name](const fleet_state_ptr& state) { onChange(name, state->nextOffset); });
        const std::lock_guard lock(m_mutex);
        m_followers[name] = follower;
        return *follower;
    }

    ~connected_followers()
    {
        for (const char* name : { "a", "b", "c" })
            stop(name);
    }

    void stop(const std::string& name)
    {
        std::shared_ptr<fleet_follower> follower;
        {
            const std::lock_guard lock(m_mutex);
            follower.swap(m_followers[name]);
        }
        eventually([&] { return follower.use_count() <= 1; });
    }

    void disconnect(const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        m_disconnected.insert(name);
    }

    bool hasGoneBack() const { return m_hasGoneBack; }

private:
    bool deliver(const std::string& from, const std::string& to, const tail_request& request)
    {
        std::shared_ptr<fleet_follower> requester;
        std::shared_ptr<fleet_follower> peer;
        {
            const std::lock_guard lock(m_mutex);
            if (m_disconnected.contains(from) || m_disconnected.contains(to))
                return false;
            requester = m_followers[from];
            peer = m_followers[to];
        }
        if (!requester || !peer)
            return false;
        requester->onTailAnswer(to, peer->answerTail(request));
        return true;
    }

    void onChange(const std::string& name, std::uint64_t offset)
    {
        const std::lock_guard lock(m_mutex);
        if (offset < m_offsets[name])
            m_hasGoneBack = true;
        m_offsets[name] = offset;
    }

    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<fleet_follower>> m_followers;
    std::map<std::string, std::uint64_t> m_offsets;
    std::set<std::string> m_disconnected;
    std::uint64_t m_lastRun { 0 };
    std::atomic<bool> m_hasGoneBack { false };
};

bool hasTeam(const fleet_follower& follower, const std::string& team)
{
    const fleet_state_ptr state = follower.state();
    return state && state->teams.contains(team);
}

bool isFresh(const fleet_follower& follower)
{
    return follower.freshnessAt(monotonicNow()).isFresh;
}

bool cannotReachLog(const fleet_follower& follower)
{
    return follower.freshnessAt(monotonicNow()).isLogUnreachable;
}

} // namespace

TEST_CASE("follower: publishes states with increasing offsets as records arrive")
{
    fake_log_server log;
    connected_followers followers;
    fleet_follower& follower = followers.start("a", log.first());
    std::uint64_t revision = 0;
    for (const char* name : { "gold", "tin", "iron" }) {
        log.append({ makeChangeText(name, revision, { name }) });
        REQUIRE(eventually([&] { return hasTeam(follower, name); }));
        revision = follower.state()->revision;
    }
    CHECK(isFresh(follower));
    CHECK_FALSE(followers.hasGoneBack());
}

TEST_CASE("follower: an entry that cannot reach the log gets the records from a peer that can")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a", "b" }) });
    connected_followers followers;
    followers.start("a", log.first());
    fleet_follower& withoutLog = followers.start("b", log.second());
    REQUIRE(eventually([&] { return hasTeam(withoutLog, "gold"); }));
    log.setFaults(R"({"away_for":[")" + formatAddress(log.second()) + R"("]})");
    REQUIRE(eventually([&] { return cannotReachLog(withoutLog); }));
    const std::uint64_t end = log.end();
    log.append({ makeChangeText("second", withoutLog.state()->revision, { "tin" }) });
    REQUIRE(eventually([&] { return hasTeam(withoutLog, "tin"); }));
    CHECK(log.end() > end);
    CHECK(eventually([&] { return isFresh(withoutLog) && cannotReachLog(withoutLog); }));
}

TEST_CASE("follower: without the log, a majority in contact stays fresh and an isolated entry does not")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a", "b", "c" }) });
    connected_followers followers;
    std::vector<fleet_follower*> all;
    for (const char* name : { "a", "b", "c" })
        all.push_back(&followers.start(name, log.first()));
    for (const fleet_follower* each : all)
        REQUIRE(eventually([&] { return hasTeam(*each, "gold"); }));
    log.setFaults(R"({"away":true})");
    followers.disconnect("c");
    REQUIRE(eventually([&] { return !isFresh(*all[2]); }));
    CHECK(eventually([&] { return cannotReachLog(*all[0]) && isFresh(*all[0]) && isFresh(*all[1]); }));
    log.setFaults(R"({"away":false})");
    CHECK(eventually([&] { return isFresh(*all[2]) && !cannotReachLog(*all[2]); }));
}

TEST_CASE("follower: starts from peers while the log is unreachable")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a", "b", "c" }) });
    connected_followers followers;
    fleet_follower& first = followers.start("a", log.first());
    fleet_follower& second = followers.start("b", log.first());
    REQUIRE(eventually([&] { return hasTeam(first, "gold") && hasTeam(second, "gold"); }));
    log.setFaults(R"({"away":true})");
    fleet_follower& late = followers.start("c", log.first(), { "a", "b" });
    CHECK(eventually([&] { return hasTeam(late, "gold") && isFresh(late); }));
}

TEST_CASE("follower: appends a snapshot as records lapse, and a later follower starts from it")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a" }) });
    connected_followers followers;
    fleet_follower& first = followers.start("a", log.first());
    REQUIRE(eventually([&] { return first.state() && !first.state()->epoch.members.empty(); }));
    log.setFaults(R"({"retain":3})");
    for (int count = 0; count < 4; ++count) {
        const std::uint64_t end = first.state()->nextOffset;
        log.append({ makeChangeText("x" + std::to_string(count), 0, {}) });
        // Records that the log drops before any follower read them are in no snapshot.
        REQUIRE(eventually([&] { return first.state()->nextOffset > end; }));
    }
    fleet_follower& late = followers.start("b", log.first());
    REQUIRE(eventually([&] { return hasTeam(late, "gold"); }));
    CHECK(eventually([&] { return *late.state() == *first.state(); }));
}

TEST_CASE("follower: the epoch's members are the entries that answer, without one that left or died")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a", "b", "c" }) });
    connected_followers followers;
    fleet_follower& first = followers.start("a", log.first());
    for (const char* name : { "b", "c" })
        followers.start(name, log.first());
    const auto members
        = [&] { return first.state() ? first.state()->epoch.members : std::vector<std::string>(); };
    using names = std::vector<std::string>;
    REQUIRE(eventually([&] { return members() == names { "a", "b", "c" }; }));
    SUBCASE("left")
    {
        fleet_follower leaver({ .log = log.first(), .self = "c", .isWriter = false }, {}, {});
        REQUIRE(eventually([&] { return leaver.state() && leaver.state()->epoch.members.size() == 3; }));
        leaver.leave();
        CHECK(eventually([&] { return members() == names { "a", "b" }; }));
    }
    SUBCASE("died")
    {
        followers.stop("c");
        CHECK(eventually([&] { return members() == names { "a", "b" }; }));
        CHECK(first.state()->epoch.runs == member_run_ids { { "a", 1 }, { "b", 2 } });
        followers.start("c", log.first());
        const member_run_ids runsWithRestarted { { "a", 1 }, { "b", 2 }, { "c", 4 } };
        CHECK(eventually([&] { return first.state()->epoch.runs == runsWithRestarted; }));
    }
    SUBCASE("restarted before its expiry")
    {
        followers.stop("c");
        fleet_follower& second = followers.start("c", log.first());
        REQUIRE(eventually([&] { return second.state() != nullptr; }));
        second.rejoin();
        const member_run_ids runsWithRestarted { { "a", 1 }, { "b", 2 }, { "c", 4 } };
        CHECK(eventually([&] { return first.state()->epoch.runs == runsWithRestarted; }));
    }
}

TEST_CASE("follower: stops promptly while it waits for the log")
{
    fake_log_server log;
    const auto started = monotonicNow();
    {
        fleet_follower follower({ .log = log.first(), .self = "a" }, {}, {});
        REQUIRE(eventually([&] { return follower.state() != nullptr; }));
    }
    CHECK(monotonicNow() - started < seconds(5));
}
