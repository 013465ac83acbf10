#include "Plan/planner_lease.h"

#include <utility>

namespace sagesaddle {

planner_lease::planner_lease(options settings)
    : m_settings(std::move(settings))
{
}

void planner_lease::onState(const fleet_state& state, monotonic_time now)
{
    const auto found = state.leases.find(plannerDuty);
    const auto grant = found == state.leases.end() ? std::nullopt : std::optional(found->second);
    if (!std::exchange(m_hasState, true) || grant != m_grant) {
        m_grant = grant;
        m_grantReadAt = now;
    }
    m_isListed = state.entries.contains(m_settings.self);
    m_turnDelay = turnDelayIn(state);
    if (m_pending && state.nextOffset > m_pending->fence)
        m_held = std::exchange(m_pending, std::nullopt);
    if (m_held && (!m_grant || m_grant->fence != m_held->fence))
        m_held.reset();
}

// The holder that stopped renewing the lease is left out.
milliseconds planner_lease::turnDelayIn(const fleet_state& state) const
{
    milliseconds delay { 0 };
    for (const auto& [name, entry] : state.entries) {
        if (name == m_settings.self)
            break;
        if (!m_grant || m_grant->holder != name)
            delay += m_settings.turnDelay;
    }
    return delay;
}

bool planner_lease::isHeld(monotonic_time now) const
{
    return m_held && now - m_held->sentAt < m_settings.timeToLive - m_settings.expiryMargin;
}

std::optional<lease_record> planner_lease::nextRecord(monotonic_time now)
{
    if (!m_hasState || !m_isListed || m_pending
        || (m_lastAttemptAt && now - *m_lastAttemptAt < m_settings.minAttemptInterval))
        return std::nullopt;
    const bool isDue = isHeld(now)
        ? now - m_held->sentAt >= m_settings.renewalInterval
        : now - m_grantReadAt >= (m_grant ? m_settings.timeToLive : milliseconds(0)) + m_turnDelay;
    if (!isDue)
        return std::nullopt;
    m_lastAttemptAt = now;
    return lease_record { plannerDuty, m_settings.self, m_grant ? m_grant->fence : 0 };
}

void planner_lease::onAppended(monotonic_time sentAt, std::uint64_t offset)
{
    m_pending = own_record { offset, sentAt };
}

std::optional<std::uint64_t> planner_lease::fence(monotonic_time now) const
{
    if (m_pending || !isHeld(now))
        return std::nullopt;
    return m_held->fence;
}

} // namespace sagesaddle
