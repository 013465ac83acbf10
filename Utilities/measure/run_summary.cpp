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

bool isWhole(const request_outcome& outcome)
{
    return outcome.status == 200;
}

bool isAttained(const workload_request& request, const request_outcome& outcome)
{
    return isWhole(outcome) && outcome.wholeMs <= static_cast<double>(deadlineOf(request.priority).count());
}

// An exact bucket over the whole fleet, fed the requests in the order in which they were sent.
class exact_bucket {
public:
    exact_bucket(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
        , m_level(burst)
    {
    }

    bool take(milliseconds at, double tokens)
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

struct refused_inside {
    std::uint64_t inside { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t insideOutsideFaults { 0 };
    std::uint64_t refusedOutsideFaults { 0 };
    // Outside the faults, of teams that keep to their rate all along.
    std::uint64_t insideKeeping { 0 };
    std::uint64_t refusedKeeping { 0 };
    std::map<std::string, std::uint64_t> reasons;
    std::map<std::string, std::uint64_t> byTeam;
};

using span_list = std::vector<std::pair<milliseconds, milliseconds>>;

bool isFaulty(const span_list& faulty, milliseconds at)
{
    return std::any_of(
        faulty.begin(), faulty.end(), [&](const auto& span) { return at >= span.first && at < span.second; });
}

refused_inside countRefusedInside(
    const trace& given, const std::vector<request_outcome>& outcomes, const span_list& faulty)
{
    std::vector<exact_bucket> buckets;
    for (const workload_team& team : given.teams)
        buckets.emplace_back(team.rate, team.burst);
    std::vector<std::size_t> order(outcomes.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(
        order.begin(), order.end(), [&](auto a, auto b) { return outcomes[a].sentAt < outcomes[b].sentAt; });
    refused_inside result;
    for (const std::size_t i : order) {
        const request_outcome& outcome = outcomes[i];
        const std::size_t team = given.requests[i].team;
        if (!buckets[team].take(outcome.sentAt, chargeOf(given.requests[i])))
            continue;
        const bool outside = !isFaulty(faulty, outcome.sentAt);
        const bool refused = !isWhole(outcome);
        const bool keepsToRate = !given.teams[team].greedy;
        result.insideKeeping += keepsToRate && outside ? 1 : 0;
        result.refusedKeeping += keepsToRate && outside && refused ? 1 : 0;
        result.inside += 1;
        result.refused += refused ? 1 : 0;
        result.insideOutsideFaults += outside ? 1 : 0;
        result.refusedOutsideFaults += refused && outside ? 1 : 0;
        if (!refused)
            continue;
        ++result.reasons[std::to_string(outcome.status) + " " + outcome.reason + " " + outcome.verdict];
        ++result.byTeam[given.teams[team].name];
    }
    return result;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

double shareOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

nlohmann::ordered_json tally(const deployment& of, const trace& given,
    const std::vector<request_outcome>& outcomes, const fleet_counts& counts, const span_list& faulty)
{
    std::vector<std::uint64_t> sent(given.teams.size());
    std::vector<std::uint64_t> attained(given.teams.size());
    std::vector<double> latencies;
    std::uint64_t attainedInAll = 0;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const workload_request& request = given.requests[i];
        ++sent[request.team];
        if (isWhole(outcomes[i]))
            latencies.push_back(outcomes[i].wholeMs);
        if (!isAttained(request, outcomes[i]))
            continue;
        ++attained[request.team];
        ++attainedInAll;
    }
    double worst = 1;
    double mean = 0;
    nlohmann::ordered_json teams;
    for (std::size_t team = 0; team < given.teams.size(); ++team) {
        const double share = shareOf(attained[team], sent[team]);
        teams[given.teams[team].name] = share;
        if (given.teams[team].greedy)
            continue;
        worst = std::min(worst, share);
        mean += share / static_cast<double>(given.teams.size() - 1);
    }
    const refused_inside refused = countRefusedInside(given, outcomes, faulty);
    return { { "requests", outcomes.size() },
        { "attainment_per_accelerator",
            shareOf(attainedInAll, outcomes.size()) / static_cast<double>(of.engines) },
        { "attainment", shareOf(attainedInAll, outcomes.size()) }, { "moves", counts.moves },
        { "worst_team_attainment", worst }, { "mean_team_attainment", mean }, { "team_attainment", teams },
        { "refused_inside_rate", shareOf(refused.refused, refused.inside) },
        { "refused_inside_rate_outside_faults",
            shareOf(refused.refusedOutsideFaults, refused.insideOutsideFaults) },
        { "refused_inside_rate_outside_faults_of_keeping_teams",
            shareOf(refused.refusedKeeping, refused.insideKeeping) },
        { "refused_inside_reasons", refused.reasons }, { "refused_inside_by_team", refused.byTeam },
        { "overcommits", counts.overcommits }, { "executed_twice", counts.executedTwice },
        { "p50_ms", percentile(latencies, 0.5) }, { "p99_ms", percentile(latencies, 0.99) } };
}

void writeOutcomes(const std::string& file, const trace& given, const std::vector<request_outcome>& outcomes)
{
    std::ofstream out(file);
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const workload_request& request = given.requests[i];
        const request_outcome& outcome = outcomes[i];
        const nlohmann::ordered_json line { { "sent_at_ms", outcome.sentAt.count() },
            { "team", given.teams[request.team].name }, { "entry", request.entry },
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
