#include "Limit/exact_bucket.h"
#include "Limit/rate_limit_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace sagesaddle;
using testing::exact_bucket;
using testing::rate_limit_simulation;

namespace {

/// Slow and fast against the burst: a fast one shows tokens that are counted twice for a moment.
const std::vector<token_count> deskRates { 100, 1000, 3000 };
constexpr token_count deskBurst = 900;
const std::vector<std::string> allEntries { "a", "b", "c", "d", "e" };

/// \brief One step of a random history.
struct history_step {
    int kind { 0 };
    int entry { 0 };
    int amount { 0 };
};

void showValue(const history_step& step, std::ostream& out)
{
    out << '{' << step.kind << ',' << step.entry << ',' << step.amount << '}';
}

rc::Gen<history_step> anyStep()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange(0, 5), rc::gen::inRange(0, 1000)),
        [](const std::tuple<int, int, int>& parts) {
            return history_step { std::get<0>(parts), std::get<1>(parts), std::get<2>(parts) };
        });
}

std::vector<std::string> membersOf(int mask)
{
    std::vector<std::string> members;
    for (std::size_t entry = 0; entry < allEntries.size(); ++entry)
        if (mask & (1 << entry))
            members.push_back(allEntries[entry]);
    return members.empty() ? allEntries : members;
}

/// Spends all that an entry can get.
void drain(rate_limit_simulation& world, const std::string& entry)
{
    for (int request = 0; request < 6; ++request)
        world.send(entry, "desk", 200);
    for (int request = 0; request < 12; ++request)
        world.send(entry, "desk", 20);
}

void apply(rate_limit_simulation& world, const history_step& step)
{
    const std::string& entry = allEntries[static_cast<std::size_t>(step.entry)];
    if (step.kind < 4)
        world.send(entry, "desk", 1 + step.amount % 400);
    else if (step.kind < 8)
        drain(world, entry);
    else if (step.kind < 12)
        world.run(milliseconds(1 + step.amount));
    else if (step.kind < 15)
        world.sync(entry);
    else if (step.kind == 15)
        world.freeze(entry);
    else if (step.kind == 16)
        world.wake(entry);
    else if (step.kind == 17)
        world.startEntry(entry);
    else if (step.kind == 18)
        world.records().withEpoch(membersOf(step.amount % 32));
    else
        world.run(milliseconds(4 * step.amount));
}

rate_limit_simulation startedWorld(
    rate_limit_simulation::options settings, token_count rate, std::uint64_t seed)
{
    rate_limit_simulation world(settings, seed);
    world.records().withTeam("desk", static_cast<double>(rate), deskBurst);
    for (const std::string& entry : allEntries)
        world.startEntry(entry);
    world.records().withEpoch(allEntries);
    for (const std::string& entry : allEntries)
        world.sync(entry);
    return world;
}

/// Charges every admitted token to one exact bucket that started full.
bool staysWithinBound(const rate_limit_simulation& world, token_count rate, monotonic_time start)
{
    exact_bucket bound(rate, deskBurst, start);
    bool within = true;
    for (const testing::admitted_charge& charge : world.charges())
        within = bound.use(charge.tokens, charge.at) && within;
    return within;
}

rate_limit_simulation::options badNetwork()
{
    rate_limit_simulation::options settings;
    settings.loss = 0.15;
    settings.doubling = 0.15;
    settings.maxDelay = milliseconds(400);
    return settings;
}

} // namespace

TEST_CASE("rate history: every window stays within burst and rate under lost, doubled and late messages, "
          "kills, freezes and epochs")
{
    const bool held = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<history_step>>(anyStep());
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation world
            = startedWorld(badNetwork(), rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const monotonic_time start = world.now();
        for (const history_step& step : steps)
            apply(world, step);
        RC_ASSERT(staysWithinBound(world, rate, start));
    });
    CHECK(held);
}

TEST_CASE("rate history: every window stays within the bound while entries read the log by themselves")
{
    const bool held = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<history_step>>(anyStep());
        rate_limit_simulation::options settings = badNetwork();
        settings.maxDelay = milliseconds(20);
        settings.syncEvery = milliseconds(*rc::gen::inRange(50, 1500));
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation world
            = startedWorld(settings, rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const monotonic_time start = world.now();
        for (const history_step& step : steps)
            apply(world, step);
        RC_ASSERT(staysWithinBound(world, rate, start));
    });
    CHECK(held);
}

namespace {

/// Lets every entry but one spend all it can, again and again.
void drainAll(rate_limit_simulation& world, milliseconds span, const std::string& idle = "",
    const std::vector<std::string>& entries = allEntries)
{
    constexpr milliseconds pause { 100 };
    for (milliseconds spent { 0 }; spent < span; spent += pause) {
        for (const std::string& entry : entries)
            for (token_count tokens : { 200, 200, 100, 50, 20, 20, 5, 5, 5 })
                if (entry != idle)
                    world.send(entry, "desk", tokens);
        world.run(pause);
    }
}

/// One entry is frozen, restarted or left alone, then the members change; all spend what they can.
void epochRound(rate_limit_simulation& world)
{
    const std::string victim = *rc::gen::elementOf(allEntries);
    const int fault = *rc::gen::inRange(0, 4);
    if (fault == 1)
        world.freeze(victim);
    if (fault == 2)
        world.startEntry(victim);
    if (fault == 3) {
        world.run(milliseconds(*rc::gen::inRange(0, 1000)));
        world.send(victim, "desk", deskBurst);
        world.run(milliseconds(20));
    }
    for (int epochs = *rc::gen::inRange(1, 3); epochs > 0; --epochs) {
        world.records().withEpoch(membersOf(*rc::gen::inRange(1, 32)));
        drainAll(world, milliseconds(*rc::gen::inRange(0, 2500)), fault == 3 ? victim : "");
    }
    drainAll(world, milliseconds(*rc::gen::inRange(0, 6000)));
    world.wake(victim);
}

} // namespace

TEST_CASE("rate history: every window stays within the bound while the members change under full load")
{
    const bool held = rc::check([] {
        rate_limit_simulation::options settings;
        settings.syncEvery = milliseconds(*rc::gen::inRange(50, 1950));
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation world
            = startedWorld(settings, rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const monotonic_time start = world.now();
        drainAll(world, milliseconds(200));
        for (int rounds = *rc::gen::inRange(1, 4); rounds > 0; --rounds)
            epochRound(world);
        RC_ASSERT(staysWithinBound(world, rate, start));
    });
    CHECK(held);
}

TEST_CASE(
    "rate history: every window stays within the bound while two processes of one name are under full load")
{
    const bool held = rc::check([] {
        rate_limit_simulation::options settings;
        settings.syncEvery = milliseconds(*rc::gen::inRange(50, 1950));
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation world(settings, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        world.records().withTeam("desk", static_cast<double>(rate), deskBurst);
        std::vector<std::string> processes { "a", "b", "c" };
        for (const std::string& entry : processes)
            world.startEntry(entry);
        world.startDuplicate("twin of a", "a");
        processes.emplace_back("twin of a");
        const monotonic_time start = world.now();
        for (int epochs = *rc::gen::inRange(1, 5); epochs > 0; --epochs) {
            const std::string listed = *rc::gen::elementOf(std::vector<std::string> { "a", "twin of a" });
            const auto members
                = *rc::gen::elementOf(std::vector<std::vector<std::string>> { { "a" }, { "a", "b", "c" } });
            world.records().withEpoch(members, { { "a", world.runOf(listed) } });
            drainAll(world, milliseconds(*rc::gen::inRange(0, 8000)), "", processes);
        }
        RC_ASSERT(staysWithinBound(world, rate, start));
    });
    CHECK(held);
}

namespace {

/// Sends requests to any entries, and to one exact bucket.
/// \return tokens that the bucket let through
token_count sendToAny(rate_limit_simulation& world, const std::vector<int>& sizes, token_count rate)
{
    exact_bucket naive(rate, deskBurst, world.now());
    token_count exact = 0;
    for (int size : sizes) {
        const auto entry = static_cast<std::size_t>(*rc::gen::inRange(0, 5));
        exact += naive.tryTake(size, world.now()) ? size : 0;
        world.send(allEntries[entry], "desk", size);
        world.run(milliseconds(150));
    }
    return exact;
}

token_count admittedTokens(const rate_limit_simulation& world)
{
    token_count admitted = 0;
    for (const testing::admitted_charge& charge : world.charges())
        admitted += charge.tokens;
    return admitted;
}

} // namespace

TEST_CASE("rate history: with a good network the fleet admits what one exact bucket admits or still has it, "
          "but for a share")
{
    const bool held = rc::check([] {
        rate_limit_simulation::options settings;
        settings.syncEvery = milliseconds(100);
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation world
            = startedWorld(settings, rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const monotonic_time start = world.now();
        const auto sizes = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 40));
        const token_count exact = sendToAny(world, sizes, rate);
        RC_ASSERT(staysWithinBound(world, rate, start));
        RC_ASSERT(admittedTokens(world) + world.spendableTokens("desk") >= exact - deskBurst / sharesPerTeam);
    });
    CHECK(held);
}

TEST_CASE(
    "rate history: a team that asks for twice its rate or more is admitted what one exact bucket admits, "
    "but for a share, however long it asks")
{
    const bool held = rc::check([] {
        rate_limit_simulation::options settings;
        settings.syncEvery = milliseconds(100);
        const token_count rate = deskRates.front();
        rate_limit_simulation world
            = startedWorld(settings, rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const auto count = *rc::gen::elementOf(std::vector<std::size_t> { 100, 400 });
        const auto sizes = *rc::gen::container<std::vector<int>>(count, rc::gen::inRange(30, 70));
        const token_count exact = sendToAny(world, sizes, rate);
        RC_ASSERT(admittedTokens(world) >= exact - deskBurst / sharesPerTeam);
    });
    CHECK(held);
}
