#include "Route/failure_ratio.h"

#include <cmath>

namespace sagesaddle {

namespace {

// Weight of one answer: about ten answers establish the ratio, and a single failure changes little.
constexpr double outcomeWeight = 0.12;
// Without answers the ratio halves in this time; most faults last a few seconds.
constexpr double halfLifeSeconds = 2.0;

} // namespace

void failure_ratio::onOutcome(bool failed, monotonic_time now)
{
    m_ratio = value(now);
    m_ratio += outcomeWeight * ((failed ? 1.0 : 0.0) - m_ratio);
    m_updatedAt = now;
}

double failure_ratio::value(monotonic_time now) const
{
    if (m_ratio <= 0)
        return 0;
    return m_ratio * std::exp2(-std::max(0.0, secondsBetween(m_updatedAt, now)) / halfLifeSeconds);
}

} // namespace sagesaddle
