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

constexpr seconds bound { 20 };

bool eventually(const std::function<bool()>& holds)
{
    return until(holds, bound);
}

// Followers that reach each other by calls, unless one is cut off.
class connected_followers {
public:
    fleet_follower& start(const std::string& name, const address& log, std::vector<std::string> seeds = {})
    {
        fleet_follower::options options { .log = log, .self = name };
        options.seedPeers = std::move(seeds);
        options.missedFor = milliseconds(2000);
        options.run = ++m_lastRun;
        auto follower = std::make_shared<fleet_follower>(
            options,
            [this, name](const std::string& peer, const message& value) {
                return deliver(name, peer, std::get<tail_ask>(value));
            },
            [this, name](const fleet_state_ptr& state) { note(name, state->nextOffset); });
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

    void cutOff(const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        m_cut.insert(name);
    }

    bool wentBack() const { return m_wentBack; }

private:
    bool deliver(const std::string& from, const std::string& to, const tail_ask& ask)
    {
        std::shared_ptr<fleet_follower> asker;
        std::shared_ptr<fleet_follower> peer;
        {
            const std::lock_guard lock(m_mutex);
            if (m_cut.contains(from) || m_cut.contains(to))
                return false;
            asker = m_followers[from];
            peer = m_followers[to];
        }
        if (!asker || !peer)
            return false;
        asker->onTailAnswer(to, peer->answerTail(ask));
        return true;
    }

    void note(const std::string& name, std::uint64_t offset)
    {
        const std::lock_guard lock(m_mutex);
        if (offset < m_offsets[name])
            m_wentBack = true;
        m_offsets[name] = offset;
    }

    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<fleet_follower>> m_followers;
    std::map<std::string, std::uint64_t> m_offsets;
    std::set<std::string> m_cut;
    std::uint64_t m_lastRun { 0 };
    std::atomic<bool> m_wentBack { false };
};

bool has(const fleet_follower& follower, const std::string& team)
{
    const fleet_state_ptr state = follower.state();
    return state && state->teams.contains(team);
}

bool isFresh(const fleet_follower& follower)
{
    return follower.freshnessAt(monotonicNow()).fresh;
}

bool isAway(const fleet_follower& follower)
{
    return follower.freshnessAt(monotonicNow()).isLogUnreachable;
}

} // namespace

TEST_CASE("follower: takes in records as they come and never goes back")
{
    fake_log_server log;
    connected_followers fleet;
    fleet_follower& follower = fleet.start("a", log.first());
    std::uint64_t revision = 0;
    for (const char* name : { "gold", "tin", "iron" }) {
        log.append({ makeChangeText(name, revision, { name }) });
        REQUIRE(eventually([&] { return has(follower, name); }));
        revision = follower.state()->revision;
    }
    CHECK(isFresh(follower));
    CHECK_FALSE(fleet.wentBack());
}

TEST_CASE("follower: an entry whose log is away goes on by a peer that reads it")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a", "b" }) });
    connected_followers fleet;
    fleet.start("a", log.first());
    fleet_follower& cut = fleet.start("b", log.second());
    REQUIRE(eventually([&] { return has(cut, "gold"); }));
    log.setFaults(R"({"away_for":[")" + formatAddress(log.second()) + R"("]})");
    REQUIRE(eventually([&] { return isAway(cut); }));
    const std::uint64_t end = log.end();
    log.append({ makeChangeText("second", cut.state()->revision, { "tin" }) });
    REQUIRE(eventually([&] { return has(cut, "tin"); }));
    CHECK(log.end() > end);
    CHECK(eventually([&] { return isFresh(cut) && isAway(cut); }));
}

TEST_CASE("follower: with the log away from all, the entries that hear a majority go on and a lone one stops")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a", "b", "c" }) });
    connected_followers fleet;
    std::vector<fleet_follower*> all;
    for (const char* name : { "a", "b", "c" })
        all.push_back(&fleet.start(name, log.first()));
    for (const fleet_follower* each : all)
        REQUIRE(eventually([&] { return has(*each, "gold"); }));
    log.setFaults(R"({"away":true})");
    fleet.cutOff("c");
    REQUIRE(eventually([&] { return !isFresh(*all[2]); }));
    CHECK(eventually([&] { return isAway(*all[0]) && isFresh(*all[0]) && isFresh(*all[1]); }));
    log.setFaults(R"({"away":false})");
    CHECK(eventually([&] { return isFresh(*all[2]) && !isAway(*all[2]); }));
}

TEST_CASE("follower: starts from peers while the log is away")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a", "b", "c" }) });
    connected_followers fleet;
    fleet_follower& first = fleet.start("a", log.first());
    fleet_follower& second = fleet.start("b", log.first());
    REQUIRE(eventually([&] { return has(first, "gold") && has(second, "gold"); }));
    log.setFaults(R"({"away":true})");
    fleet_follower& late = fleet.start("c", log.first(), { "a", "b" });
    CHECK(eventually([&] { return has(late, "gold") && isFresh(late); }));
}

TEST_CASE("follower: appends a snapshot as records lapse, and a later one starts from it")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a" }) });
    connected_followers fleet;
    fleet_follower& first = fleet.start("a", log.first());
    REQUIRE(eventually([&] { return first.state() && !first.state()->epoch.members.empty(); }));
    log.setFaults(R"({"retain":3})");
    for (int count = 0; count < 4; ++count) {
        const std::uint64_t end = first.state()->nextOffset;
        log.append({ makeChangeText("x" + std::to_string(count), 0, {}) });
        // A log that drops records before any follower read them keeps nothing to make a snapshot of.
        REQUIRE(eventually([&] { return first.state()->nextOffset > end; }));
    }
    fleet_follower& late = fleet.start("b", log.first());
    REQUIRE(eventually([&] { return has(late, "gold"); }));
    CHECK(eventually([&] { return *late.state() == *first.state(); }));
}

TEST_CASE("follower: the epoch's members are those heard from, without one that left or died")
{
    fake_log_server log;
    log.append({ makeChangeText("first", 0, { "gold" }, { "a", "b", "c" }) });
    connected_followers fleet;
    fleet_follower& first = fleet.start("a", log.first());
    for (const char* name : { "b", "c" })
        fleet.start(name, log.first());
    const auto members
        = [&] { return first.state() ? first.state()->epoch.members : std::vector<std::string>(); };
    using names = std::vector<std::string>;
    REQUIRE(eventually([&] { return members() == names { "a", "b", "c" }; }));
    SUBCASE("left")
    {
        fleet_follower leaver({ .log = log.first(), .self = "c", .writes = false }, {}, {});
        REQUIRE(eventually([&] { return leaver.state() && leaver.state()->epoch.members.size() == 3; }));
        leaver.leave();
        CHECK(eventually([&] { return members() == names { "a", "b" }; }));
    }
    SUBCASE("died")
    {
        fleet.stop("c");
        CHECK(eventually([&] { return members() == names { "a", "b" }; }));
        CHECK(first.state()->epoch.runs == member_runs { { "a", 1 }, { "b", 2 } });
        fleet.start("c", log.first());
        const member_runs again { { "a", 1 }, { "b", 2 }, { "c", 4 } };
        CHECK(eventually([&] { return first.state()->epoch.runs == again; }));
    }
    SUBCASE("started again before it was missed")
    {
        fleet.stop("c");
        fleet_follower& second = fleet.start("c", log.first());
        REQUIRE(eventually([&] { return second.state() != nullptr; }));
        second.rejoin();
        const member_runs again { { "a", 1 }, { "b", 2 }, { "c", 4 } };
        CHECK(eventually([&] { return first.state()->epoch.runs == again; }));
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
