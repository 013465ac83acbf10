#include "Fleet/slow_start.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// With two requests, one that is late by chance is told from a slow upstream in the next round.
constexpr int initialLimit = 2;
// Shortest time between two halvings: the answers of requests that were sent before belong to the first.
constexpr milliseconds halvingInterval { 250 };
// Late answers for each one on time from which the limit is halved.
constexpr std::uint32_t onTimePerLate = 3;
// Time without a halving after which the slow start ends even where few requests came.
constexpr milliseconds untroubledTime { 15000 };

} // namespace

start_outcomes& start_outcomes::operator+=(const start_outcomes& other)
{
    onTime += other.onTime;
    late += other.late;
    failed += other.failed;
    return *this;
}

slow_start::slow_start(int slots, monotonic_time now)
    : m_slots(std::max(slots, 1))
    , m_limit(initialLimit)
    , m_begunAt(now)
    , m_troubleAt(now)
{
}

void slow_start::onOutcomes(const start_outcomes& outcomes, monotonic_time now)
{
    m_round += outcomes;
    if (m_round.failed > 0 || m_round.late * onTimePerLate > m_round.onTime) {
        if (now - m_troubleAt >= halvingInterval) {
            m_limit = std::max(1, m_limit / 2);
            m_troubleAt = now;
        }
        m_round = {};
        return;
    }
    if (m_round.onTime + m_round.late < static_cast<std::uint32_t>(m_limit))
        return;
    m_limit *= 2;
    m_round = {};
    m_isProven = m_isProven || m_limit >= m_slots;
}

void slow_start::adopt(int limit)
{
    m_limit = std::max(limit, 1);
    m_round = {};
}

std::optional<int> slow_start::limit(monotonic_time now) const
{
    if (m_isProven || now - m_troubleAt >= untroubledTime)
        return std::nullopt;
    return m_limit;
}

double startAdmission(double limit, double inFlight, double unreported)
{
    return std::clamp((limit - inFlight) / std::max(unreported, 1.0), 0.0, 1.0);
}

} // namespace sagesaddle
