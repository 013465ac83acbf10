#include "run_summary.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <stdexcept>

namespace sagesaddle::measure {

namespace {

const char* nameOf(workload_request_kind kind)
{
    switch (kind) {
    case workload_request_kind::Chat:
        return "chat";
    case workload_request_kind::Stock:
        return "stock";
    case workload_request_kind::Order:
        break;
    }
    return "order";
}

bool isSuccess(const request_outcome& outcome)
{
    return outcome.status == 200;
}

bool isInTime(const workload_request& request, const request_outcome& outcome)
{
    return isSuccess(outcome) && outcome.wholeMs <= static_cast<double>(deadlineOf(request.priority).count());
}

// An exact token bucket for a team over the whole fleet; the requests must come in the order in which they
// were sent.
class exact_bucket {
public:
    exact_bucket(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
        , m_level(burst)
    {
    }

    bool trySpend(milliseconds at, double tokens)
    {
        m_level = std::min(m_burst, m_level + m_rate * std::chrono::duration<double>(at - m_at).count());
        m_at = at;
        if (m_level < tokens)
            return false;
        m_level -= tokens;
        return true;
    }

private:
    double m_rate;
    double m_burst;
    double m_level;
    milliseconds m_at { 0 };
};

// Requests that are within their team's rate by its exact bucket, and those of them that were refused or
// failed.
struct within_rate_counts {
    std::uint64_t requests { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t requestsOutsideFaults { 0 };
    std::uint64_t refusedOutsideFaults { 0 };
    // Outside the faults, of teams that never exceed their rate.
    std::uint64_t requestsOfCompliantTeams { 0 };
    std::uint64_t refusedOfCompliantTeams { 0 };
    std::map<std::string, std::uint64_t> reasons;
    std::map<std::string, std::uint64_t> byTeam;
};

using period_list = std::vector<std::pair<milliseconds, milliseconds>>;

bool hasFault(const period_list& faultPeriods, milliseconds at)
{
    return std::any_of(faultPeriods.begin(), faultPeriods.end(),
        [&](const auto& period) { return at >= period.first && at < period.second; });
}

within_rate_counts countWithinRate(
    const workload& load, const std::vector<request_outcome>& outcomes, const period_list& faultPeriods)
{
    std::vector<exact_bucket> buckets;
    for (const workload_team& team : load.teams)
        buckets.emplace_back(team.rate, team.burst);
    std::vector<std::size_t> order(outcomes.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(
        order.begin(), order.end(), [&](auto a, auto b) { return outcomes[a].sentAt < outcomes[b].sentAt; });
    within_rate_counts result;
    for (const std::size_t i : order) {
        const request_outcome& outcome = outcomes[i];
        const std::size_t team = load.requests[i].team;
        if (!buckets[team].trySpend(outcome.sentAt, chargeOf(load.requests[i])))
            continue;
        const bool outsideFaults = !hasFault(faultPeriods, outcome.sentAt);
        const bool refused = !isSuccess(outcome);
        const bool keepsToRate = !load.teams[team].greedy;
        result.requestsOfCompliantTeams += keepsToRate && outsideFaults ? 1 : 0;
        result.refusedOfCompliantTeams += keepsToRate && outsideFaults && refused ? 1 : 0;
        result.requests += 1;
        result.refused += refused ? 1 : 0;
        result.requestsOutsideFaults += outsideFaults ? 1 : 0;
        result.refusedOutsideFaults += refused && outsideFaults ? 1 : 0;
        if (!refused)
            continue;
        ++result.reasons[std::to_string(outcome.status) + " " + outcome.reason + " " + outcome.verdict];
        ++result.byTeam[load.teams[team].name];
    }
    return result;
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

double ratioOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

nlohmann::ordered_json summarize(const deployment& sizes, const workload& load,
    const std::vector<request_outcome>& outcomes, const fleet_counts& counts, const period_list& faultPeriods)
{
    std::vector<std::uint64_t> sent(load.teams.size());
    std::vector<std::uint64_t> attained(load.teams.size());
    std::vector<double> latencies;
    std::uint64_t attainedInAll = 0;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const workload_request& request = load.requests[i];
        ++sent[request.team];
        if (isSuccess(outcomes[i]))
            latencies.push_back(outcomes[i].wholeMs);
        if (!isInTime(request, outcomes[i]))
            continue;
        ++attained[request.team];
        ++attainedInAll;
    }
    double worst = 1;
    double mean = 0;
    nlohmann::ordered_json teams;
    for (std::size_t team = 0; team < load.teams.size(); ++team) {
        const double fraction = ratioOf(attained[team], sent[team]);
        teams[load.teams[team].name] = fraction;
        if (load.teams[team].greedy)
            continue;
        worst = std::min(worst, fraction);
        mean += fraction / static_cast<double>(load.teams.size() - 1);
    }
    const within_rate_counts refused = countWithinRate(load, outcomes, faultPeriods);
    return { { "requests", outcomes.size() },
        { "attainment_per_accelerator",
            ratioOf(attainedInAll, outcomes.size()) / static_cast<double>(sizes.engines) },
        { "attainment", ratioOf(attainedInAll, outcomes.size()) }, { "moves", counts.moves },
        { "worst_team_attainment", worst }, { "mean_team_attainment", mean }, { "team_attainment", teams },
        { "refused_inside_rate", ratioOf(refused.refused, refused.requests) },
        { "refused_inside_rate_outside_faults",
            ratioOf(refused.refusedOutsideFaults, refused.requestsOutsideFaults) },
        { "refused_inside_rate_outside_faults_of_keeping_teams",
            ratioOf(refused.refusedOfCompliantTeams, refused.requestsOfCompliantTeams) },
        { "refused_inside_reasons", refused.reasons }, { "refused_inside_by_team", refused.byTeam },
        { "overcommits", counts.overcommits }, { "executed_twice", counts.executedTwice },
        { "p50_ms", percentile(latencies, 0.5) }, { "p99_ms", percentile(latencies, 0.99) } };
}

void writeOutcomes(
    const std::string& file, const workload& load, const std::vector<request_outcome>& outcomes)
{
    std::ofstream out(file);
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const workload_request& request = load.requests[i];
        const request_outcome& outcome = outcomes[i];
        const nlohmann::ordered_json line { { "sent_at_ms", outcome.sentAt.count() },
            { "team", load.teams[request.team].name }, { "entry", request.entry },
            { "kind", nameOf(request.kind) }, { "model", request.model },
            { "priority", nameOf(request.priority) }, { "tokens", request.tokens },
            { "status", outcome.status }, { "reason", outcome.reason }, { "verdict", outcome.verdict },
            { "whole_ms", outcome.wholeMs } };
        out << line.dump() << '\n';
    }
    out.close();
    if (!out)
        throw std::runtime_error(
            "cannot write the outcomes to " + file + "; name a file that can be written");
}

} // namespace sagesaddle::measure
