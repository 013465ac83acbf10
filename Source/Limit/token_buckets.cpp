#include "Limit/token_buckets.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

// Level above which tokens are granted for prefetch, as a fraction of the burst.
constexpr double prefetchLevel = 0.5;
// Longest time after which refused requests are told to retry.
constexpr double maxRetrySeconds = 30;

} // namespace

void token_buckets::bucket::fill(monotonic_time now, double fraction)
{
    const double filled = limit.ratePerSecond * fraction * std::max(0.0, secondsBetween(filledAt, now));
    level = std::min(limit.burst, level + filled);
    retryBacklog = std::max(0.0, retryBacklog - filled);
    filledAt = now;
}

void token_buckets::setGrantableFraction(double fraction, monotonic_time now)
{
    if (fraction == m_grantableFraction)
        return;
    for (auto& [name, value] : m_buckets)
        value.fill(now, m_grantableFraction);
    m_grantableFraction = fraction;
}

void token_buckets::emptyAll(monotonic_time now)
{
    for (auto& [name, value] : m_buckets) {
        value.level = std::min(value.level, 0.0);
        value.filledAt = now;
    }
}

void token_buckets::setLimits(const std::vector<rate_limit>& limits, monotonic_time now)
{
    std::map<std::string, bucket> next;
    for (const auto& limit : limits) {
        const auto known = m_buckets.find(limit.name);
        bucket value
            = known == m_buckets.end() ? bucket { limit, limit.initialLevel, 0, now } : known->second;
        value.fill(now, m_grantableFraction);
        value.limit = limit;
        value.limit.burst = std::max(limit.burst, 1.0);
        value.level = std::min(value.level, value.limit.burst);
        next.emplace(limit.name, std::move(value));
    }
    m_buckets = std::move(next);
}

token_grant token_buckets::grant(const std::string& name, double needed, double prefetch, monotonic_time now)
{
    const auto found = m_buckets.find(name);
    if (found == m_buckets.end())
        return { needed + prefetch, milliseconds(0) };
    bucket& value = found->second;
    value.fill(now, m_grantableFraction);
    const double spare = std::max(0.0, value.level - value.limit.burst * prefetchLevel);
    double tokens
        = std::min(std::max(value.level, 0.0), needed + std::min(prefetch, std::max(0.0, spare - needed)));
    if (value.limit.grantUnit > 0)
        tokens = std::floor(tokens / value.limit.grantUnit) * value.limit.grantUnit;
    value.level -= tokens;
    if (tokens >= needed)
        return { tokens, milliseconds(0) };
    // Requests refused now are told to retry after those that were refused before them.
    value.retryBacklog
        = std::min(value.retryBacklog + needed - tokens, value.limit.ratePerSecond * maxRetrySeconds);
    const double missing = value.retryBacklog + std::max(0.0, -value.level);
    return { tokens,
        milliseconds(static_cast<std::int64_t>(missing / value.limit.ratePerSecond * 1000) + 1) };
}

bool token_buckets::trySpend(const std::string& name, double tokens, monotonic_time now)
{
    const auto found = m_buckets.find(name);
    if (found == m_buckets.end())
        return true;
    bucket& value = found->second;
    value.fill(now, m_grantableFraction);
    if (value.level < tokens)
        return false;
    value.level -= tokens;
    return true;
}

void token_buckets::returnTokens(const std::string& name, double tokens, monotonic_time now)
{
    const auto found = m_buckets.find(name);
    if (found == m_buckets.end() || tokens <= 0)
        return;
    bucket& value = found->second;
    value.fill(now, m_grantableFraction);
    value.level = std::min(value.limit.burst, value.level + tokens);
}

void token_buckets::adjustLevel(
    const std::string& name, double tokens, double lowestLevel, monotonic_time now)
{
    const auto found = m_buckets.find(name);
    if (found == m_buckets.end())
        return;
    bucket& value = found->second;
    value.fill(now, m_grantableFraction);
    value.level
        = std::min(value.limit.burst, std::max(value.level + tokens, std::min(value.level, lowestLevel)));
}

} // namespace sagesaddle
