#include "Route/failure_ratio.h"

#include <cmath>

namespace sagesaddle {

namespace {

// Weight of one answer: after some ten the share is that of the upstream, and one fault alone does not
// condemn it.
constexpr double outcomeWeight = 0.12;
// Half of what is known is forgotten in that time without answers; faults last some seconds.
constexpr double halfLifeSeconds = 2.0;

} // namespace

void failure_ratio::onOutcome(bool isFault, monotonic_time now)
{
    m_share = value(now);
    m_share += outcomeWeight * ((isFault ? 1.0 : 0.0) - m_share);
    m_at = now;
}

double failure_ratio::value(monotonic_time now) const
{
    if (m_share <= 0)
        return 0;
    return m_share * std::exp2(-std::max(0.0, secondsBetween(m_at, now)) / halfLifeSeconds);
}

} // namespace sagesaddle
