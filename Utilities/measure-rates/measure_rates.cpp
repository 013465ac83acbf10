// Compares policies for sharing a team's rate among entries, by simulation. The measure is the number of
// requests that are refused although the team is within its rate: one exact token bucket for each team, fed
// the same requests, admits them. Prints a Markdown table.

#include "Limit/exact_bucket.h"
#include "Limit/rate_limit_simulation.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace sagesaddle;
using testing::exact_bucket;
using testing::rate_limit_simulation;

namespace {

constexpr milliseconds runDuration { 60'000 };
constexpr milliseconds stepDuration { 5 };
constexpr milliseconds faultAt { 20'000 };
constexpr milliseconds logUnreachableAt { 15'000 };
/// From the end of an entry to the membership epoch without it.
constexpr milliseconds removalDelay { 11'000 };
constexpr milliseconds syncInterval { 200 };
constexpr std::size_t entryCount = 4;
constexpr std::uint64_t seeds = 5;
constexpr double meanTokens = 300;

/// \brief A team's limits and the load that it sends.
struct team_load {
    std::string name;
    token_count rate;
    token_count burst;
    /// Tokens that the team asks for, as a multiple of its rate.
    double load;
    /// Where it is not 0, twice the load is sent in the first half of each such period and none in the
    /// second.
    milliseconds period;
};

const std::vector<team_load> teams {
    { "large", 6000, 40000, 0.8, milliseconds(0) },
    { "bursty", 3000, 20000, 0.8, milliseconds(8000) },
    { "small", 600, 4000, 0.7, milliseconds(0) },
    { "tiny", 300, 2000, 0.7, milliseconds(6000) },
    { "greedy", 2000, 10000, 3.0, milliseconds(0) },
};

struct policy {
    std::string name;
    rate_limiter_core::sharing_options sharing;
};

const std::vector<policy> policies {
    { "static shares", { entryCount, false } },
    { "one holder", { 1, true } },
    { "three shares", { sharesPerTeam, true } },
    { "a share an entry", { entryCount, true } },
};

struct scenario {
    std::string name;
    /// Fraction of the requests that the load balancer sends to the first entry; the others get the rest
    /// evenly.
    double toFirst;
    bool kill;
    bool isLogUnreachable;
};

const std::vector<scenario> scenarios {
    { "even", 1.0 / entryCount, false, false },
    { "all to one entry", 1.0, false, false },
    { "seven in ten to one entry", 0.7, false, false },
    { "an entry killed", 1.0 / entryCount, true, false },
    { "log away, an entry killed", 1.0 / entryCount, true, true },
};

/// \brief Measures of one run. A team that sends more than its rate does not count in the refused requests.
struct run_result {
    double refusedPerThousand { 0 };
    /// Refused requests of the team that has the most in proportion.
    double worstPerThousand { 0 };
    /// Tokens that the policy admits of the greedy team, as a fraction of those that the exact bucket admits.
    double greedyShare { 0 };
    double messagesPerEntrySecond { 0 };
    /// Whether the charged tokens of each team always stayed within its exact bucket.
    bool withinBound { true };
};

/// \brief Requests of one team, and what the policy and the exact bucket admitted of them.
struct team_counts {
    std::uint64_t requests { 0 };
    /// Refused by the policy, admitted by the exact bucket.
    std::uint64_t refusedInside { 0 };
    token_count exactTokens { 0 };
    token_count admittedTokens { 0 };
};

std::string entryName(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

/// \brief A simulation of one policy in one scenario.
class policy_run {
public:
    policy_run(const policy& testedPolicy, const scenario& testedScenario, std::uint64_t seed)
        : m_scenario(testedScenario)
        , m_random(seed)
        , m_simulation(makeOptions(testedPolicy), seed)
    {
        for (const team_load& team : teams)
            m_simulation.records().withTeam(
                team.name, static_cast<double>(team.rate), static_cast<double>(team.burst));
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            m_simulation.startEntry(entryName(entry));
            m_runningEntries.push_back(entryName(entry));
        }
        m_simulation.records().withEpoch(m_runningEntries);
        m_simulation.run(syncInterval);
        for (const team_load& team : teams)
            m_referenceBuckets.emplace(team.name, exact_bucket(team.rate, team.burst, m_simulation.now()));
        m_boundBuckets = m_referenceBuckets;
    }

    run_result run()
    {
        for (milliseconds elapsed { 0 }; elapsed < runDuration; elapsed += stepDuration) {
            applyFaults(elapsed);
            for (const team_load& team : teams)
                sendArrivals(team, elapsed);
            m_simulation.run(stepDuration);
        }
        m_simulation.run(seconds(1));
        return evaluate();
    }

private:
    static rate_limit_simulation::options makeOptions(const policy& testedPolicy)
    {
        rate_limit_simulation::options settings;
        settings.sharing = testedPolicy.sharing;
        settings.syncInterval = syncInterval;
        settings.minDelay = milliseconds(1);
        settings.maxDelay = milliseconds(2);
        return settings;
    }

    void applyFaults(milliseconds elapsed)
    {
        if (m_scenario.isLogUnreachable && elapsed == logUnreachableAt)
            m_simulation.setLogUnreachable(true);
        if (!m_scenario.kill)
            return;
        if (elapsed == faultAt) {
            m_simulation.kill(m_runningEntries.back());
            m_runningEntries.pop_back();
        }
        if (elapsed == faultAt + removalDelay && !m_scenario.isLogUnreachable)
            m_simulation.records().withEpoch(m_runningEntries);
    }

    const std::string& chooseEntry()
    {
        std::uniform_real_distribution<> fraction(0, 1);
        if (fraction(m_random) < m_scenario.toFirst || m_runningEntries.size() == 1)
            return m_runningEntries.front();
        return m_runningEntries[std::uniform_int_distribution<std::size_t>(1, m_runningEntries.size() - 1)(
            m_random)];
    }

    void sendArrivals(const team_load& team, milliseconds elapsed)
    {
        double load = team.load * static_cast<double>(team.rate) / meanTokens;
        if (team.period.count() > 0)
            load *= elapsed % team.period < team.period / 2 ? 2 : 0;
        std::poisson_distribution<int> arrivals(load * std::chrono::duration<double>(stepDuration).count());
        std::uniform_int_distribution<token_count> size(20, static_cast<token_count>(2 * meanTokens) - 20);
        for (int count = arrivals(m_random); count > 0; --count) {
            const token_count tokens = size(m_random);
            m_withinRate.push_back(m_referenceBuckets.at(team.name).tryTake(tokens, m_simulation.now()));
            m_simulation.send(chooseEntry(), team.name, tokens);
        }
    }

    run_result evaluate()
    {
        std::map<std::string, team_counts> counts;
        for (std::size_t index = 0; index < m_withinRate.size(); ++index) {
            const testing::rate_request& request = m_simulation.requests()[index];
            team_counts& count = counts[request.team];
            ++count.requests;
            count.refusedInside += m_withinRate[index] && !request.decision.admitted ? 1 : 0;
            count.exactTokens += m_withinRate[index] ? request.tokens : 0;
            count.admittedTokens += request.decision.admitted ? request.tokens : 0;
        }
        run_result result = summarize(counts);
        for (const testing::admitted_charge& charge : m_simulation.charges())
            result.withinBound
                = m_boundBuckets.at(charge.team).use(charge.tokens, charge.at) && result.withinBound;
        return result;
    }

    run_result summarize(const std::map<std::string, team_counts>& counts) const
    {
        run_result result;
        std::uint64_t requests = 0;
        std::uint64_t refused = 0;
        for (const team_load& team : teams) {
            const team_counts& count = counts.at(team.name);
            if (team.load > 1) {
                result.greedyShare
                    = static_cast<double>(count.admittedTokens) / static_cast<double>(count.exactTokens);
                continue;
            }
            requests += count.requests;
            refused += count.refusedInside;
            result.worstPerThousand = std::max(result.worstPerThousand,
                1000.0 * static_cast<double>(count.refusedInside) / static_cast<double>(count.requests));
        }
        result.refusedPerThousand = 1000.0 * static_cast<double>(refused) / static_cast<double>(requests);
        result.messagesPerEntrySecond = static_cast<double>(m_simulation.messages()) * 1000
            / static_cast<double>(runDuration.count()) / entryCount;
        return result;
    }

    const scenario& m_scenario;
    std::mt19937_64 m_random;
    rate_limit_simulation m_simulation;
    std::vector<std::string> m_runningEntries;
    std::map<std::string, exact_bucket> m_referenceBuckets;
    std::map<std::string, exact_bucket> m_boundBuckets;
    std::vector<bool> m_withinRate;
};

std::string medianAndRange(std::vector<double> values, const char* format)
{
    std::sort(values.begin(), values.end());
    char text[96];
    const std::string pattern = std::string(format) + " (" + format + "–" + format + ")";
    std::snprintf(
        text, sizeof text, pattern.c_str(), values[values.size() / 2], values.front(), values.back());
    return text;
}

void report(const policy& testedPolicy, const scenario& testedScenario)
{
    std::vector<double> refused;
    std::vector<double> worst;
    std::vector<double> greedy;
    std::vector<double> messages;
    bool within = true;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const run_result result = policy_run(testedPolicy, testedScenario, seed).run();
        refused.push_back(result.refusedPerThousand);
        worst.push_back(result.worstPerThousand);
        greedy.push_back(100 * result.greedyShare);
        messages.push_back(result.messagesPerEntrySecond);
        within = within && result.withinBound;
    }
    std::cout << "| " << testedScenario.name << " | " << testedPolicy.name << " | "
              << medianAndRange(refused, "%.1f") << " | " << medianAndRange(worst, "%.1f") << " | "
              << medianAndRange(greedy, "%.0f") << " | " << medianAndRange(messages, "%.1f") << " | "
              << (within ? "yes" : "NO") << " |" << std::endl;
}

} // namespace

int main()
{
    std::cout << "| scenario | division | refused inside the rate, per 1000 | worst team, per 1000 "
                 "| greedy team's tokens, % of exact | messages/s an entry | bound held |\n"
                 "|---|---|---|---|---|---|---|\n";
    for (const scenario& testedScenario : scenarios)
        for (const policy& testedPolicy : policies)
            report(testedPolicy, testedScenario);
}
