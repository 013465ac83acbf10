#include "Limit/fleet_state_builder.h"
#include "Limit/rate_limiter_core.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

#include <map>

using namespace sagesaddle;
using testing::fleet_state_builder;

namespace {

using testing::start;

/// \brief Three entries that learn states and exchange asks and grants without delay.
struct small_fleet {
    std::map<std::string, rate_limiter_core> entries;

    small_fleet()
    {
        std::uint64_t firstAsk = 1000;
        for (const char* name : { "a", "b", "c" })
            entries.emplace(name, rate_limiter_core(name, firstAsk += 1000));
    }

    void learn(const fleet_state_builder& fleet, monotonic_time now)
    {
        for (auto& [name, entry] : entries)
            entry.update(fleet.state(), now);
    }

    void deliver(const std::string& asker, const std::vector<addressed_ask>& asks, monotonic_time now)
    {
        for (const addressed_ask& each : asks)
            if (auto holder = entries.find(each.holder); holder != entries.end())
                entries.at(asker).onGrant(holder->second.answer(each.ask, now), now);
    }

    rate_decision admit(const std::string& at, token_count tokens, monotonic_time now)
    {
        rate_limiter_core& entry = entries.at(at);
        rate_decision decision = entry.admit("desk", tokens, now);
        for (int round = 0; round < 5 && !decision.admitted; ++round) {
            deliver(at, entry.asksForShortfall("desk", tokens, now), now);
            decision = entry.admit("desk", tokens, now);
        }
        if (decision.admitted)
            deliver(at, entry.asksAfterAdmission("desk", now), now);
        return decision;
    }
};

fleet_state_builder deskFleet()
{
    fleet_state_builder fleet;
    fleet.withTeam("desk", 300, 3000).withTeam("yard", 30, 300);
    return fleet;
}

/// \brief A fleet of three in its first epoch.
small_fleet startedFleet(fleet_state_builder& fleet)
{
    small_fleet entries;
    entries.learn(fleet, start);
    fleet.withEpoch({ "a", "b", "c" });
    entries.learn(fleet, start);
    return entries;
}

} // namespace

TEST_CASE("rate member: one entry gets the whole burst where all come to it")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    for (int request = 0; request < 30; ++request)
        CHECK(entries.admit("a", 100, start).admitted);
    const rate_decision refused = entries.admit("a", 100, start);
    CHECK(refused.reason == "team_rate");
    CHECK(refused.retryAfterMs == 334);
    CHECK(entries.admit("a", 100, start + milliseconds(350)).admitted);
}

TEST_CASE("rate member: what can never fit is said so")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    CHECK(entries.admit("a", 3001, start).reason == "request_over_burst");
    CHECK(entries.admit("a", 3000, start).admitted);
}

TEST_CASE("rate member: an entry that does not answer costs its share only")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    entries.entries.erase("c");
    token_count admitted = 0;
    monotonic_time now = start;
    for (int request = 0; request < 40; ++request, now += askTimeout)
        admitted += entries.admit("a", 100, now).admitted ? 100 : 0;
    CHECK(admitted >= 2000);
    CHECK(entries.admit("a", 2500, now).reason == "rate_holder_away");
}

TEST_CASE("rate member: an epoch that keeps a share keeps its tokens, a new share waits and starts empty")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    fleet.withEpoch({ "a", "b" });
    const monotonic_time learned = start + seconds(1);
    entries.learn(fleet, learned);
    CHECK(entries.admit("a", 2000, learned).admitted);
    CHECK_FALSE(entries.admit("a", 100, learned).admitted);
    const monotonic_time opened = learned + handoverDelay;
    CHECK(entries.entries.at("a").spendableTokens("desk", opened)
            + entries.entries.at("b").spendableTokens("desk", opened)
        == 800);
    CHECK(entries.admit("b", 900, opened + seconds(1)).admitted);
}

TEST_CASE("rate member: credit of a holder that left is dropped at once")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    const std::string asker = "a";
    CHECK(entries.admit(asker, 3000, start).admitted);
    for (auto& [name, entry] : entries.entries)
        CHECK(entry.spendableTokens("desk", start) == 0);
    const monotonic_time later = start + seconds(4);
    entries.deliver(asker, entries.entries.at(asker).asksForShortfall("desk", 1200, later), later);
    entries.deliver(asker, entries.entries.at(asker).asksForShortfall("desk", 1200, later), later);
    CHECK(entries.entries.at(asker).spendableTokens("desk", later) == 1200);
    fleet.withEpoch({ "a" });
    entries.learn(fleet, later);
    CHECK(entries.entries.at(asker).spendableTokens("desk", later) == 400);
}

TEST_CASE("rate member: a process that restarts under its name holds nothing until it rejoined")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    rate_limiter_core again("a", 77000);
    again.update(fleet.state(), start);
    CHECK(again.mustRejoin());
    CHECK(again.spendableTokens("desk", start + seconds(60)) == 0);
    fleet.withEpoch({ "b", "c" }).withEpoch({ "a", "b", "c" });
    again.update(fleet.state(), start);
    CHECK_FALSE(again.mustRejoin());
    CHECK(again.spendableTokens("desk", start + handoverDelay - milliseconds(1)) == 0);
    CHECK(again.spendableTokens("desk", start + handoverDelay + seconds(1)) == 100);
}

TEST_CASE("rate member: of two processes of one name, the one that the epoch lists holds the shares")
{
    fleet_state_builder fleet;
    fleet.withTeam("desk", 300, 3000);
    rate_limiter_core first("a", 1000);
    rate_limiter_core second("a", 2000);
    const auto learn = [&] {
        first.update(fleet.state(), start);
        second.update(fleet.state(), start);
    };
    learn();
    fleet.withEpoch({ "a" }, { { "a", 1000 } });
    learn();
    CHECK(first.spendableTokens("desk", start) == 3000);
    CHECK(second.spendableTokens("desk", start + seconds(60)) == 0);
    CHECK(second.mustRejoin());
    fleet.withEpoch({ "a" }, { { "a", 2000 } });
    learn();
    CHECK(first.spendableTokens("desk", start + seconds(60)) == 0);
    CHECK_FALSE(first.mustRejoin());
    CHECK(second.spendableTokens("desk", start + handoverDelay) == 0);
    CHECK(second.spendableTokens("desk", start + handoverDelay + seconds(1)) == 300);
}

TEST_CASE("rate member: credit of a replaced process is dropped by it and written off by the holder")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries;
    entries.learn(fleet, start);
    fleet.withEpoch({ "a", "b", "c" }, { { "a", 2000 }, { "b", 3000 }, { "c", 4000 } });
    entries.learn(fleet, start);
    rate_limiter_core& asker = entries.entries.at("a");
    entries.deliver("a", asker.asksForShortfall("desk", 3000, start), start);
    CHECK(asker.spendableTokens("desk", start) == 3000);
    const credit_ask old { 5, "desk", "a/2000", fleet.state()->epoch.number, 10, 0, 0, 0, 0 };
    fleet.withEpoch({ "a", "b", "c" }, { { "a", 2001 }, { "b", 3000 }, { "c", 4000 } });
    entries.learn(fleet, start);
    CHECK(asker.spendableTokens("desk", start) == 0);
    rate_limiter_core& holder = entries.entries.at("b");
    CHECK(holder.answer(old, start).refusal == "not_member");
    CHECK(holder.spendableTokens("desk", start + handoverDelay - milliseconds(1)) == 0);
    holder.admit("desk", 1, start + handoverDelay);
    CHECK(holder.spendableTokens("desk", start + handoverDelay + seconds(1)) >= 100);
}

TEST_CASE("rate member: an entry outside the epoch is granted nothing")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    entries.entries.emplace("d", rate_limiter_core("d", 90000));
    entries.learn(fleet, start);
    CHECK(entries.admit("d", 10, start).reason == "rate_holder_away");
}

TEST_CASE("rate member: a team that is created while an epoch stands starts with its burst")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    fleet.withTeam("new", 30, 300);
    entries.learn(fleet, start + seconds(10));
    token_count sum = 0;
    for (auto& [name, entry] : entries.entries)
        sum += entry.spendableTokens("new", start + seconds(10));
    CHECK(sum == 300);
}

TEST_CASE("rate member: a team that is removed and made again does not get its burst twice")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    CHECK(entries.admit("b", 3000, start).admitted);
    fleet.withoutTeam("desk");
    entries.learn(fleet, start);
    CHECK_FALSE(entries.admit("b", 1, start).admitted);
    fleet.withTeam("desk", 300, 3000);
    entries.learn(fleet, start);
    CHECK_FALSE(entries.admit("b", 100, start).admitted);
}

TEST_CASE("rate member: an entry that missed the epoch in which a share was elsewhere drops its credit")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    rate_limiter_core& asker = entries.entries.at("a");
    entries.deliver("a", asker.asksForShortfall("desk", 2000, start), start);
    CHECK(asker.spendableTokens("desk", start) == 2000);
    fleet.withEpoch({ "a" }).withEpoch({ "a", "b", "c" });
    asker.update(fleet.state(), start);
    CHECK(asker.spendableTokens("desk", start) == 1000);
}

TEST_CASE("rate member: credit of an entry that left counts as outstanding until it cannot be spent")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    rate_limiter_core& asker = entries.entries.at("a");
    entries.deliver("a", asker.asksForShortfall("desk", 3000, start), start);
    CHECK(asker.spendableTokens("desk", start) == 3000);
    fleet.withEpoch({ "b", "c" });
    rate_limiter_core& holder = entries.entries.at("b");
    holder.update(fleet.state(), start);
    CHECK_FALSE(holder.admit("desk", 1, start + milliseconds(500)).admitted);
    CHECK(holder.spendableTokens("desk", start + handoverDelay - milliseconds(1)) == 0);
    const monotonic_time later = start + handoverDelay + seconds(1);
    holder.admit("desk", 1, start + handoverDelay);
    CHECK(holder.spendableTokens("desk", later) >= 100);
    CHECK(holder.spendableTokens("desk", later) <= 200);
}

TEST_CASE("rate member: an ask for an absurd amount is granted what the share has")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    const credit_ask ask { 5, "desk", "a/1", fleet.state()->epoch.number, 1e300, 1e300, 0, 0, 0 };
    const credit_grant grant = entries.entries.at("b").answer(ask, start);
    CHECK(grant.tokens == 1000);
    CHECK(entries.entries.at("b").answer(ask, start).tokens == 0);
    CHECK(entries.entries.at("b").spendableTokens("desk", start) == 0);
}

TEST_CASE("rate member: a member for longer than the state remembers need not rejoin")
{
    fleet_state_builder fleet = deskFleet();
    small_fleet entries = startedFleet(fleet);
    for (std::size_t epoch = 0; epoch < 2 * maxPastEpochs; ++epoch) {
        fleet.withEpoch(
            epoch % 2 ? std::vector<std::string> { "a", "b", "c" } : std::vector<std::string> { "a", "b" });
        entries.learn(fleet, start);
    }
    CHECK_FALSE(entries.entries.at("a").mustRejoin());
    CHECK(entries.entries.at("a").spendableTokens("desk", start) >= 1000);
}

TEST_CASE("rate member: a process that no epoch lists yet need not rejoin")
{
    rate_limiter_core member("a", 1);
    CHECK_FALSE(member.mustRejoin());
    fleet_state state;
    state.nextOffset = 1;
    member.update(std::make_shared<const fleet_state>(state), monotonic_time {});
    CHECK_FALSE(member.mustRejoin());
}
