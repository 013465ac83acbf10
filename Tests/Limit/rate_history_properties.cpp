#include "Limit/exact_bucket.h"
#include "Limit/rate_limit_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace sagesaddle;
using testing::exact_bucket;
using testing::rate_limit_simulation;

namespace {

/// Rates that are slow and fast against the burst. With a fast one, tokens that are counted twice for a
/// moment break the bound.
const std::vector<token_count> deskRates { 100, 1000, 3000 };
constexpr token_count deskBurst = 900;
const std::vector<std::string> allEntries { "a", "b", "c", "d", "e" };

/// \brief One step of a random history: `kind` chooses the action, see `apply`.
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

/// Sends requests that together spend all that an entry can get.
void spendAll(rate_limit_simulation& simulation, const std::string& entry)
{
    for (int request = 0; request < 6; ++request)
        simulation.send(entry, "desk", 200);
    for (int request = 0; request < 12; ++request)
        simulation.send(entry, "desk", 20);
}

void apply(rate_limit_simulation& simulation, const history_step& step)
{
    const std::string& entry = allEntries[static_cast<std::size_t>(step.entry)];
    if (step.kind < 4)
        simulation.send(entry, "desk", 1 + step.amount % 400);
    else if (step.kind < 8)
        spendAll(simulation, entry);
    else if (step.kind < 12)
        simulation.run(milliseconds(1 + step.amount));
    else if (step.kind < 15)
        simulation.sync(entry);
    else if (step.kind == 15)
        simulation.freeze(entry);
    else if (step.kind == 16)
        simulation.unfreeze(entry);
    else if (step.kind == 17)
        simulation.startEntry(entry);
    else if (step.kind == 18)
        simulation.records().withEpoch(membersOf(step.amount % 32));
    else
        simulation.run(milliseconds(4 * step.amount));
}

rate_limit_simulation startedSimulation(
    rate_limit_simulation::options settings, token_count rate, std::uint64_t seed)
{
    rate_limit_simulation simulation(settings, seed);
    simulation.records().withTeam("desk", static_cast<double>(rate), deskBurst);
    for (const std::string& entry : allEntries)
        simulation.startEntry(entry);
    simulation.records().withEpoch(allEntries);
    for (const std::string& entry : allEntries)
        simulation.sync(entry);
    return simulation;
}

/// Charges all admitted requests to one exact bucket that started full.
/// \return whether its level never became negative
bool staysWithinBound(const rate_limit_simulation& simulation, token_count rate, monotonic_time start)
{
    exact_bucket bound(rate, deskBurst, start);
    bool within = true;
    for (const testing::admitted_charge& charge : simulation.charges())
        within = bound.use(charge.tokens, charge.at) && within;
    return within;
}

rate_limit_simulation::options unreliableNetwork()
{
    rate_limit_simulation::options settings;
    settings.lossProbability = 0.15;
    settings.duplicateProbability = 0.15;
    settings.maxDelay = milliseconds(400);
    return settings;
}

} // namespace

TEST_CASE("rate history: every window stays within burst and rate under lost, duplicate and late messages, "
          "restarts, frozen entries and new epochs")
{
    const bool passed = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<history_step>>(anyStep());
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation simulation
            = startedSimulation(unreliableNetwork(), rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const monotonic_time start = simulation.now();
        for (const history_step& step : steps)
            apply(simulation, step);
        RC_ASSERT(staysWithinBound(simulation, rate, start));
    });
    CHECK(passed);
}

TEST_CASE("rate history: every window stays within the bound while entries read the log at an interval")
{
    const bool passed = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<history_step>>(anyStep());
        rate_limit_simulation::options settings = unreliableNetwork();
        settings.maxDelay = milliseconds(20);
        settings.syncInterval = milliseconds(*rc::gen::inRange(50, 1500));
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation simulation
            = startedSimulation(settings, rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const monotonic_time start = simulation.now();
        for (const history_step& step : steps)
            apply(simulation, step);
        RC_ASSERT(staysWithinBound(simulation, rate, start));
    });
    CHECK(passed);
}

namespace {

/// Sends requests to all entries but one, every 100 ms, so that they spend all they can.
void spendAtAll(rate_limit_simulation& simulation, milliseconds span, const std::string& idle = "",
    const std::vector<std::string>& entries = allEntries)
{
    constexpr milliseconds interval { 100 };
    for (milliseconds spent { 0 }; spent < span; spent += interval) {
        for (const std::string& entry : entries)
            for (token_count tokens : { 200, 200, 100, 50, 20, 20, 5, 5, 5 })
                if (entry != idle)
                    simulation.send(entry, "desk", tokens);
        simulation.run(interval);
    }
}

/// Freezes, restarts or idles one entry, or leaves it as it is, and then changes the members. All other
/// entries spend what they can meanwhile.
void epochRound(rate_limit_simulation& simulation)
{
    const std::string faulty = *rc::gen::elementOf(allEntries);
    const int fault = *rc::gen::inRange(0, 4);
    if (fault == 1)
        simulation.freeze(faulty);
    if (fault == 2)
        simulation.startEntry(faulty);
    if (fault == 3) {
        simulation.run(milliseconds(*rc::gen::inRange(0, 1000)));
        simulation.send(faulty, "desk", deskBurst);
        simulation.run(milliseconds(20));
    }
    for (int epochs = *rc::gen::inRange(1, 3); epochs > 0; --epochs) {
        simulation.records().withEpoch(membersOf(*rc::gen::inRange(1, 32)));
        spendAtAll(simulation, milliseconds(*rc::gen::inRange(0, 2500)), fault == 3 ? faulty : "");
    }
    spendAtAll(simulation, milliseconds(*rc::gen::inRange(0, 6000)));
    simulation.unfreeze(faulty);
}

} // namespace

TEST_CASE("rate history: every window stays within the bound while the members change under full load")
{
    const bool passed = rc::check([] {
        rate_limit_simulation::options settings;
        settings.syncInterval = milliseconds(*rc::gen::inRange(50, 1950));
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation simulation
            = startedSimulation(settings, rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const monotonic_time start = simulation.now();
        spendAtAll(simulation, milliseconds(200));
        for (int rounds = *rc::gen::inRange(1, 4); rounds > 0; --rounds)
            epochRound(simulation);
        RC_ASSERT(staysWithinBound(simulation, rate, start));
    });
    CHECK(passed);
}

TEST_CASE(
    "rate history: every window stays within the bound while two processes of one name are under full load")
{
    const bool passed = rc::check([] {
        rate_limit_simulation::options settings;
        settings.syncInterval = milliseconds(*rc::gen::inRange(50, 1950));
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation simulation(settings, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        simulation.records().withTeam("desk", static_cast<double>(rate), deskBurst);
        std::vector<std::string> processes { "a", "b", "c" };
        for (const std::string& entry : processes)
            simulation.startEntry(entry);
        simulation.startDuplicate("duplicate of a", "a");
        processes.emplace_back("duplicate of a");
        const monotonic_time start = simulation.now();
        for (int epochs = *rc::gen::inRange(1, 5); epochs > 0; --epochs) {
            const std::string listed
                = *rc::gen::elementOf(std::vector<std::string> { "a", "duplicate of a" });
            const auto members
                = *rc::gen::elementOf(std::vector<std::vector<std::string>> { { "a" }, { "a", "b", "c" } });
            simulation.records().withEpoch(members, { { "a", simulation.runIdOf(listed) } });
            spendAtAll(simulation, milliseconds(*rc::gen::inRange(0, 8000)), "", processes);
        }
        RC_ASSERT(staysWithinBound(simulation, rate, start));
    });
    CHECK(passed);
}

namespace {

/// Sends requests to random entries, and the same requests to one exact bucket.
/// \return tokens that the exact bucket admitted
token_count sendToAny(rate_limit_simulation& simulation, const std::vector<int>& sizes, token_count rate)
{
    exact_bucket bucket(rate, deskBurst, simulation.now());
    token_count exact = 0;
    for (int size : sizes) {
        const auto entry = static_cast<std::size_t>(*rc::gen::inRange(0, 5));
        exact += bucket.tryTake(size, simulation.now()) ? size : 0;
        simulation.send(allEntries[entry], "desk", size);
        simulation.run(milliseconds(150));
    }
    return exact;
}

token_count admittedTokens(const rate_limit_simulation& simulation)
{
    token_count admitted = 0;
    for (const testing::admitted_charge& charge : simulation.charges())
        admitted += charge.tokens;
    return admitted;
}

} // namespace

TEST_CASE("rate history: with a reliable network the fleet admits what one exact bucket admits or could "
          "still charge it, except for one share")
{
    const bool passed = rc::check([] {
        rate_limit_simulation::options settings;
        settings.syncInterval = milliseconds(100);
        const token_count rate = *rc::gen::elementOf(deskRates);
        rate_limit_simulation simulation
            = startedSimulation(settings, rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const monotonic_time start = simulation.now();
        const auto sizes = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 40));
        const token_count exact = sendToAny(simulation, sizes, rate);
        RC_ASSERT(staysWithinBound(simulation, rate, start));
        RC_ASSERT(admittedTokens(simulation) + simulation.spendableTokens("desk")
            >= exact - deskBurst / sharesPerTeam);
    });
    CHECK(passed);
}

TEST_CASE(
    "rate history: a team that asks for twice its rate or more is admitted what one exact bucket admits, "
    "but for a share, however long it asks")
{
    const bool passed = rc::check([] {
        rate_limit_simulation::options settings;
        settings.syncInterval = milliseconds(100);
        const token_count rate = deskRates.front();
        rate_limit_simulation simulation
            = startedSimulation(settings, rate, *rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        const auto count = *rc::gen::elementOf(std::vector<std::size_t> { 100, 400 });
        const auto sizes = *rc::gen::container<std::vector<int>>(count, rc::gen::inRange(30, 70));
        const token_count exact = sendToAny(simulation, sizes, rate);
        RC_ASSERT(admittedTokens(simulation) >= exact - deskBurst / sharesPerTeam);
    });
    CHECK(passed);
}
