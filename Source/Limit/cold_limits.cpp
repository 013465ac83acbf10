#include "Limit/cold_limits.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Requests that a cold upstream may get at once: as a time at its rate, within these bounds. The platform
// allows 5 beyond the rate; the difference covers requests that are delayed on their way.
constexpr double coldBurstSeconds = 0.25;
constexpr double minColdBurst = 2;
constexpr double maxColdBurst = 3;
// Time before an upstream turned cold whose requests count against the limit, at its rate.
constexpr double coldDebtSeconds = 1;

} // namespace

rate_limit coldRateLimit(const cold_limit& limit, monotonic_time now)
{
    const double knownSeconds = std::max(0.0, secondsBetween(limit.since, now));
    const double debtSeconds = limit.wasInUse ? std::max(0.0, coldDebtSeconds - knownSeconds) : 0;
    return { limit.upstream, limit.requestsPerSecond,
        std::clamp(limit.requestsPerSecond * coldBurstSeconds, minColdBurst, maxColdBurst),
        -limit.requestsPerSecond * debtSeconds, 1 };
}

milliseconds remainingColdTime(const upstream_entry& entry, monotonic_time now)
{
    return entry.coldUntil > now ? std::chrono::ceil<milliseconds>(entry.coldUntil - now) : milliseconds(0);
}

void cold_limits::onConfig(const std::vector<service_config>& services)
{
    m_requestsPerSecond.clear();
    for (const auto& service : services) {
        if (service.coldRequestsPerSecond > 0)
            m_requestsPerSecond.emplace(service.name, service.coldRequestsPerSecond);
    }
}

void cold_limits::onUpstreams(const std::map<std::string, upstream_entry>& entries, monotonic_time now)
{
    std::erase_if(m_upstreams, [&](const auto& item) { return !entries.contains(item.first); });
    for (const auto& [id, entry] : entries) {
        const auto [position, isNew] = m_upstreams.try_emplace(id);
        upstream_state& state = position->second;
        const bool isKnownProcess
            = !isNew && state.endpoint == entry.endpoint && state.startedAt == entry.startedAt;
        const bool wasCold = isKnownProcess && state.coldUntil > now;
        if (entry.coldUntil > now && !wasCold) {
            state.coldSince = now;
            state.wasInUse = isKnownProcess;
        }
        state.service = entry.service;
        state.endpoint = entry.endpoint;
        state.startedAt = entry.startedAt;
        state.coldUntil = entry.coldUntil;
    }
}

std::vector<cold_limit> cold_limits::inForce(monotonic_time now) const
{
    std::vector<cold_limit> limits;
    if (m_requestsPerSecond.empty())
        return limits;
    for (const auto& [id, state] : m_upstreams) {
        const auto rate = m_requestsPerSecond.find(state.service);
        if (rate != m_requestsPerSecond.end() && state.coldUntil > now)
            limits.push_back({ id, rate->second, state.coldSince, state.coldUntil, state.wasInUse });
    }
    return limits;
}

} // namespace sagesaddle
