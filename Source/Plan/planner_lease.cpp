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
    if (!std::exchange(m_started, true) || grant != m_grant) {
        m_grant = grant;
        m_grantSeen = now;
    }
    m_listed = state.entries.contains(m_settings.self);
    m_turn = waitForTurn(state);
    if (m_asked && state.nextOffset > m_asked->fence)
        m_held = std::exchange(m_asked, std::nullopt);
    if (m_held && (!m_grant || m_grant->fence != m_held->fence))
        m_held.reset();
}

// The holder that fell silent has no turn.
milliseconds planner_lease::waitForTurn(const fleet_state& state) const
{
    milliseconds wait { 0 };
    for (const auto& [name, entry] : state.entries) {
        if (name == m_settings.self)
            break;
        if (!m_grant || m_grant->holder != name)
            wait += m_settings.turn;
    }
    return wait;
}

bool planner_lease::isHeld(monotonic_time now) const
{
    return m_held && now - m_held->since < m_settings.lapse - m_settings.margin;
}

std::optional<lease_record> planner_lease::nextRecord(monotonic_time now)
{
    if (!m_started || !m_listed || m_asked || (m_askedAt && now - *m_askedAt < m_settings.askAgain))
        return std::nullopt;
    const bool isDue = isHeld(now)
        ? now - m_held->since >= m_settings.renewEvery
        : now - m_grantSeen >= (m_grant ? m_settings.lapse : milliseconds(0)) + m_turn;
    if (!isDue)
        return std::nullopt;
    m_askedAt = now;
    return lease_record { plannerDuty, m_settings.self, m_grant ? m_grant->fence : 0 };
}

void planner_lease::onAppended(monotonic_time askedAt, std::uint64_t offset)
{
    m_asked = tenure { offset, askedAt };
}

std::optional<std::uint64_t> planner_lease::fence(monotonic_time now) const
{
    if (m_asked || !isHeld(now))
        return std::nullopt;
    return m_held->fence;
}

} // namespace sagesaddle
