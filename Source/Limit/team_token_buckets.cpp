#include "Limit/team_token_buckets.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Level above which credit is granted ahead of need, as a part of the burst.
constexpr double aheadLevel = 0.5;
// Longest time after which refused requests are told to come back.
constexpr double mostReturnSeconds = 30;
// Part of the burst that a bucket starts with. Grants of an earlier coordinator may still be spent; the
// platform's bound allows a tenth beyond the rate over several seconds, which is more.
constexpr double startLevel = 0.5;

} // namespace

void team_token_buckets::bucket::fill(monotonic_time now, double share)
{
    const double filled = ratePerSecond * share * std::max(0.0, secondsBetween(filledAt, now));
    level = std::min(burst, level + filled);
    returning = std::max(0.0, returning - filled);
    filledAt = now;
}

void team_token_buckets::setGrantableFraction(double part, monotonic_time now)
{
    if (part == m_share)
        return;
    for (auto& [name, value] : m_buckets)
        value.fill(now, m_share);
    m_share = part;
}

void team_token_buckets::emptyAll(monotonic_time now)
{
    for (auto& [name, value] : m_buckets) {
        value.level = 0;
        value.filledAt = now;
    }
}

void team_token_buckets::setTeams(const std::vector<team_config>& teams, monotonic_time now)
{
    std::map<std::string, bucket> next;
    for (const auto& team : teams) {
        if (team.ratePerSecond <= 0)
            continue;
        const auto known = m_buckets.find(team.name);
        bucket value = known == m_buckets.end() ? bucket { 0, team.burst, team.burst * startLevel, 0, now }
                                                : known->second;
        value.fill(now, m_share);
        value.ratePerSecond = team.ratePerSecond;
        value.burst = std::max(team.burst, 1.0);
        value.level = std::min(value.level, value.burst);
        next.emplace(team.name, value);
    }
    m_buckets = std::move(next);
}

token_grant team_token_buckets::grant(
    const std::string& team, double needed, double ahead, monotonic_time now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return { needed + ahead, milliseconds(0) };
    bucket& value = found->second;
    value.fill(now, m_share);
    const double spare = std::max(0.0, value.level - value.burst * aheadLevel);
    const double tokens = std::min(value.level, needed + std::min(ahead, std::max(0.0, spare - needed)));
    value.level -= tokens;
    if (tokens >= needed)
        return { tokens, milliseconds(0) };
    // Whoever is refused now comes after those that were refused before.
    value.returning = std::min(value.returning + needed - tokens, value.ratePerSecond * mostReturnSeconds);
    return { tokens,
        milliseconds(static_cast<std::int64_t>(value.returning / value.ratePerSecond * 1000) + 1) };
}

void team_token_buckets::returnTokens(const std::string& team, double tokens, monotonic_time now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || tokens <= 0)
        return;
    found->second.fill(now, m_share);
    found->second.level = std::min(found->second.burst, found->second.level + tokens);
}

} // namespace sagesaddle
