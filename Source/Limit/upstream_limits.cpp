#include "Limit/upstream_limits.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

void upstream_limits::onReported(
    const upstream_limit& limit, milliseconds knownFor, bool isNews, monotonic_time now)
{
    const auto known = m_records.find(limit.upstream);
    if (known == m_records.end() ? !limit.requestsPerSecond : !isNews)
        return;
    if (known == m_records.end() || known->second.requestsPerSecond != limit.requestsPerSecond)
        set(limit, knownFor, now);
}

void upstream_limits::onProcessReplaced(const std::string& upstream, monotonic_time now)
{
    const auto known = m_records.find(upstream);
    if (known != m_records.end() && known->second.requestsPerSecond)
        set({ upstream, std::nullopt }, {}, now);
}

void upstream_limits::set(const upstream_limit& limit, milliseconds knownFor, monotonic_time now)
{
    record& changed = m_records[limit.upstream];
    const std::optional<double> previous = changed.requestsPerSecond;
    changed = { limit.requestsPerSecond, ++m_revision };
    std::vector<rate_limit> limits;
    for (const auto& [id, item] : m_records) {
        if (item.requestsPerSecond)
            limits.push_back(upstreamRateLimit(id, *item.requestsPerSecond, knownFor));
    }
    m_buckets.setLimits(limits, now);
    // The requests just before the change count at the new rate.
    if (previous && limit.requestsPerSecond)
        m_buckets.adjustLevel(limit.upstream, (*limit.requestsPerSecond - *previous) * limitDebtSeconds,
            -*limit.requestsPerSecond * limitDebtSeconds, now);
    // A process that was cold from its start cannot have got more than its limit allowed since.
    const auto cold = m_listedCold.find(limit.upstream);
    if (!previous && limit.requestsPerSecond && cold != m_listedCold.end() && !cold->second.wasInUse) {
        const double debt
            = -upstreamRateLimit(limit.upstream, *limit.requestsPerSecond, knownFor).initialLevel;
        const double got = cold->second.requestsPerSecond * secondsBetween(cold->second.since, now);
        m_buckets.adjustLevel(limit.upstream, std::max(0.0, debt - got), -debt, now);
    }
}

void upstream_limits::clear()
{
    m_records.clear();
    m_buckets.setLimits({}, {});
    m_listedCold.clear();
    m_reportedCold.clear();
    m_coldBuckets.setLimits({}, {});
}

void upstream_limits::setColdLimits(const std::vector<cold_limit>& limits, monotonic_time now)
{
    if (limits.empty() && m_listedCold.empty())
        return;
    const auto previous = std::exchange(m_listedCold, {});
    for (const auto& limit : limits)
        m_listedCold.emplace(limit.upstream, limit);
    // The bucket of an upstream that turned cold anew, or was replaced, does not carry on the earlier one.
    std::vector<rate_limit> kept;
    for (const auto& [id, limit] : previous) {
        const auto next = m_listedCold.find(id);
        if (next != m_listedCold.end() && next->second.since == limit.since)
            kept.push_back(coldRateLimit(next->second, now));
    }
    for (const auto& [id, limit] : m_reportedCold) {
        if (!m_listedCold.contains(id))
            kept.push_back(coldRateLimit(limit, now));
    }
    m_coldBuckets.setLimits(kept, now);
    updateColdBuckets(now);
}

void upstream_limits::onColdReported(
    const std::string& upstream, double requestsPerSecond, milliseconds remaining, monotonic_time now)
{
    if (isCold(upstream, now) || remaining <= milliseconds(0))
        return;
    m_reportedCold[upstream] = { upstream, requestsPerSecond, now, now + remaining, false };
    updateColdBuckets(now);
}

void upstream_limits::updateColdBuckets(monotonic_time now)
{
    std::erase_if(m_listedCold, [&](const auto& item) { return item.second.endsAt <= now; });
    std::erase_if(m_reportedCold, [&](const auto& item) { return item.second.endsAt <= now; });
    std::vector<rate_limit> limits;
    for (const auto& [id, limit] : m_listedCold)
        limits.push_back(coldRateLimit(limit, now));
    for (const auto& [id, limit] : m_reportedCold) {
        if (!m_listedCold.contains(id))
            limits.push_back(coldRateLimit(limit, now));
    }
    m_coldBuckets.setLimits(limits, now);
}

bool upstream_limits::isCold(const std::string& upstream, monotonic_time now) const
{
    const auto isInForce = [&](const std::map<std::string, cold_limit>& limits) {
        const auto found = limits.find(upstream);
        return found != limits.end() && found->second.endsAt > now;
    };
    return isInForce(m_listedCold) || isInForce(m_reportedCold);
}

std::vector<upstream_limit> upstream_limits::changesSince(std::uint64_t revision) const
{
    std::vector<upstream_limit> changes;
    for (const auto& [id, item] : m_records) {
        if (item.revision > revision)
            changes.push_back({ id, item.requestsPerSecond });
    }
    return changes;
}

token_grant upstream_limits::grant(
    const std::string& upstream, double needed, double prefetch, monotonic_time now)
{
    if (!isCold(upstream, now))
        return m_buckets.grant(upstream, needed, prefetch, now);
    const token_grant cold = m_coldBuckets.grant(upstream, needed, prefetch, now);
    const double neededOfStated = std::min(needed, cold.tokens);
    const token_grant stated = m_buckets.grant(upstream, neededOfStated, cold.tokens - neededOfStated, now);
    m_coldBuckets.returnTokens(upstream, cold.tokens - stated.tokens, now);
    return { stated.tokens, std::max(cold.retryAfter, stated.retryAfter) };
}

void upstream_limits::returnCredit(const std::string& upstream, double requests, monotonic_time now)
{
    m_buckets.returnTokens(upstream, requests, now);
    m_coldBuckets.returnTokens(upstream, requests, now);
}

void upstream_limits::emptyAll(monotonic_time now)
{
    m_buckets.emptyAll(now);
    m_coldBuckets.emptyAll(now);
}

void upstream_limits::setGrantableFraction(double fraction, double coldFraction, monotonic_time now)
{
    m_buckets.setGrantableFraction(fraction, now);
    m_coldBuckets.setGrantableFraction(coldFraction, now);
}

bool upstream_limits::trySpend(const std::string& upstream, monotonic_time now)
{
    const bool isLimitedAsCold = isCold(upstream, now);
    if (isLimitedAsCold && !m_coldBuckets.trySpend(upstream, 1, now))
        return false;
    if (m_buckets.grant(upstream, 1, 0, now).tokens >= 1)
        return true;
    if (isLimitedAsCold)
        m_coldBuckets.returnTokens(upstream, 1, now);
    return false;
}

} // namespace sagesaddle
