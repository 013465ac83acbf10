#include "Limit/team_token_buckets.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Level above which tokens are granted for prefetch, as a fraction of the burst.
constexpr double prefetchLevel = 0.5;
// Longest time after which refused requests are told to retry.
constexpr double maxRetrySeconds = 30;
// Level of a new bucket, as a fraction of the burst. Grants of an earlier coordinator may still be spent, but
// the platform's bound allows more than this excess: a tenth beyond the rate over several seconds.
constexpr double initialLevel = 0.5;

} // namespace

void team_token_buckets::bucket::fill(monotonic_time now, double fraction)
{
    const double filled = ratePerSecond * fraction * std::max(0.0, secondsBetween(filledAt, now));
    level = std::min(burst, level + filled);
    retryBacklog = std::max(0.0, retryBacklog - filled);
    filledAt = now;
}

void team_token_buckets::setGrantableFraction(double fraction, monotonic_time now)
{
    if (fraction == m_grantableFraction)
        return;
    for (auto& [name, value] : m_buckets)
        value.fill(now, m_grantableFraction);
    m_grantableFraction = fraction;
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
        bucket value = known == m_buckets.end() ? bucket { 0, team.burst, team.burst * initialLevel, 0, now }
                                                : known->second;
        value.fill(now, m_grantableFraction);
        value.ratePerSecond = team.ratePerSecond;
        value.burst = std::max(team.burst, 1.0);
        value.level = std::min(value.level, value.burst);
        next.emplace(team.name, value);
    }
    m_buckets = std::move(next);
}

token_grant team_token_buckets::grant(
    const std::string& team, double needed, double prefetch, monotonic_time now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return { needed + prefetch, milliseconds(0) };
    bucket& value = found->second;
    value.fill(now, m_grantableFraction);
    const double spare = std::max(0.0, value.level - value.burst * prefetchLevel);
    const double tokens = std::min(value.level, needed + std::min(prefetch, std::max(0.0, spare - needed)));
    value.level -= tokens;
    if (tokens >= needed)
        return { tokens, milliseconds(0) };
    // Requests refused now are told to retry after those that were refused before them.
    value.retryBacklog
        = std::min(value.retryBacklog + needed - tokens, value.ratePerSecond * maxRetrySeconds);
    return { tokens,
        milliseconds(static_cast<std::int64_t>(value.retryBacklog / value.ratePerSecond * 1000) + 1) };
}

void team_token_buckets::returnTokens(const std::string& team, double tokens, monotonic_time now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || tokens <= 0)
        return;
    found->second.fill(now, m_grantableFraction);
    found->second.level = std::min(found->second.burst, found->second.level + tokens);
}

} // namespace sagesaddle
