// Compares ways to divide team rates between entries: requests refused inside a team's rate, as judged by
// one exact bucket a team that is fed the same requests. Prints a Markdown table.

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

constexpr milliseconds runLength { 60'000 };
constexpr milliseconds arrivalStep { 5 };
constexpr milliseconds faultAt { 20'000 };
constexpr milliseconds logAwayFrom { 15'000 };
/// Time after which a dead entry is left out of the epoch.
constexpr milliseconds missedFor { 11'000 };
constexpr milliseconds syncEvery { 200 };
constexpr std::size_t entryCount = 4;
constexpr std::uint64_t seeds = 5;
constexpr double meanTokens = 300;

/// \brief A team's record and the load that it sends, in parts of its rate.
struct team_load {
    std::string name;
    token_count rate;
    token_count burst;
    double load;
    /// The load comes in the first half of each period of so long, doubled.
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
    /// Share of the requests that the balancer sends to the first entry; the others get the rest evenly.
    double toFirst;
    bool kill;
    bool logAway;
};

const std::vector<scenario> scenarios {
    { "even", 1.0 / entryCount, false, false },
    { "all to one entry", 1.0, false, false },
    { "seven in ten to one entry", 0.7, false, false },
    { "an entry killed", 1.0 / entryCount, true, false },
    { "log away, an entry killed", 1.0 / entryCount, true, true },
};

/// \brief What one run gave.
struct run_result {
    double refusedPerThousand { 0 };
    double worstPerThousand { 0 };
    double greedyShare { 0 };
    double messagesPerEntrySecond { 0 };
    bool withinBound { true };
};

/// \brief Requests of one team, and how both ways judged them.
struct team_count {
    std::uint64_t requests { 0 };
    std::uint64_t refusedInside { 0 };
    token_count exactTokens { 0 };
    token_count admittedTokens { 0 };
};

std::string entryName(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

/// \brief One run of a policy under a scenario.
class rate_run {
public:
    rate_run(const policy& how, const scenario& what, std::uint64_t seed)
        : m_scenario(what)
        , m_random(seed)
        , m_world(settingsOf(how), seed)
    {
        for (const team_load& team : teams)
            m_world.records().withTeam(
                team.name, static_cast<double>(team.rate), static_cast<double>(team.burst));
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            m_world.startEntry(entryName(entry));
            m_alive.push_back(entryName(entry));
        }
        m_world.records().withEpoch(m_alive);
        m_world.run(syncEvery);
        for (const team_load& team : teams)
            m_exact.emplace(team.name, exact_bucket(team.rate, team.burst, m_world.now()));
        m_bound = m_exact;
    }

    run_result run()
    {
        for (milliseconds at { 0 }; at < runLength; at += arrivalStep) {
            applyFaults(at);
            for (const team_load& team : teams)
                sendArrivals(team, at);
            m_world.run(arrivalStep);
        }
        m_world.run(seconds(1));
        return judge();
    }

private:
    static rate_limit_simulation::options settingsOf(const policy& how)
    {
        rate_limit_simulation::options settings;
        settings.sharing = how.sharing;
        settings.syncEvery = syncEvery;
        settings.minDelay = milliseconds(1);
        settings.maxDelay = milliseconds(2);
        return settings;
    }

    void applyFaults(milliseconds at)
    {
        if (m_scenario.logAway && at == logAwayFrom)
            m_world.setLogAway(true);
        if (!m_scenario.kill)
            return;
        if (at == faultAt) {
            m_world.kill(m_alive.back());
            m_alive.pop_back();
        }
        if (at == faultAt + missedFor && !m_scenario.logAway)
            m_world.records().withEpoch(m_alive);
    }

    const std::string& balance()
    {
        std::uniform_real_distribution<> any(0, 1);
        if (any(m_random) < m_scenario.toFirst || m_alive.size() == 1)
            return m_alive.front();
        return m_alive[std::uniform_int_distribution<std::size_t>(1, m_alive.size() - 1)(m_random)];
    }

    void sendArrivals(const team_load& team, milliseconds at)
    {
        double load = team.load * static_cast<double>(team.rate) / meanTokens;
        if (team.period.count() > 0)
            load *= at % team.period < team.period / 2 ? 2 : 0;
        std::poisson_distribution<int> arrivals(load * std::chrono::duration<double>(arrivalStep).count());
        std::uniform_int_distribution<token_count> size(20, static_cast<token_count>(2 * meanTokens) - 20);
        for (int count = arrivals(m_random); count > 0; --count) {
            const token_count tokens = size(m_random);
            m_inside.push_back(m_exact.at(team.name).tryTake(tokens, m_world.now()));
            m_world.send(balance(), team.name, tokens);
        }
    }

    run_result judge()
    {
        std::map<std::string, team_count> counts;
        for (std::size_t place = 0; place < m_inside.size(); ++place) {
            const testing::rate_request& request = m_world.requests()[place];
            team_count& count = counts[request.team];
            ++count.requests;
            count.refusedInside += m_inside[place] && !request.decision.admitted ? 1 : 0;
            count.exactTokens += m_inside[place] ? request.tokens : 0;
            count.admittedTokens += request.decision.admitted ? request.tokens : 0;
        }
        run_result result = summarize(counts);
        for (const testing::admitted_charge& charge : m_world.charges())
            result.withinBound = m_bound.at(charge.team).use(charge.tokens, charge.at) && result.withinBound;
        return result;
    }

    run_result summarize(const std::map<std::string, team_count>& counts) const
    {
        run_result result;
        std::uint64_t requests = 0;
        std::uint64_t refused = 0;
        for (const team_load& team : teams) {
            const team_count& count = counts.at(team.name);
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
        result.messagesPerEntrySecond = static_cast<double>(m_world.messages()) * 1000
            / static_cast<double>(runLength.count()) / entryCount;
        return result;
    }

    const scenario& m_scenario;
    std::mt19937_64 m_random;
    rate_limit_simulation m_world;
    std::vector<std::string> m_alive;
    std::map<std::string, exact_bucket> m_exact;
    std::map<std::string, exact_bucket> m_bound;
    std::vector<bool> m_inside;
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

void report(const policy& how, const scenario& what)
{
    std::vector<double> refused;
    std::vector<double> worst;
    std::vector<double> greedy;
    std::vector<double> messages;
    bool within = true;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const run_result result = rate_run(how, what, seed).run();
        refused.push_back(result.refusedPerThousand);
        worst.push_back(result.worstPerThousand);
        greedy.push_back(100 * result.greedyShare);
        messages.push_back(result.messagesPerEntrySecond);
        within = within && result.withinBound;
    }
    std::cout << "| " << what.name << " | " << how.name << " | " << medianAndRange(refused, "%.1f") << " | "
              << medianAndRange(worst, "%.1f") << " | " << medianAndRange(greedy, "%.0f") << " | "
              << medianAndRange(messages, "%.1f") << " | " << (within ? "yes" : "NO") << " |" << std::endl;
}

} // namespace

int main()
{
    std::cout << "| scenario | division | refused inside the rate, per 1000 | worst team, per 1000 "
                 "| greedy team's tokens, % of exact | messages/s an entry | bound held |\n"
                 "|---|---|---|---|---|---|---|\n";
    for (const scenario& what : scenarios)
        for (const policy& how : policies)
            report(how, what);
}
