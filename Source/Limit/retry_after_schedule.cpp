#include "Limit/retry_after_schedule.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

// Span over which the rate of work is averaged.
constexpr double rateSeconds = 2;
// Least rate, in amounts a second, so that a queue without work still moves.
constexpr double leastRate = 0.5;
// Longest time told; what lies beyond is not known.
constexpr milliseconds longest { 30000 };

} // namespace

retry_after_schedule::retry_after_schedule(milliseconds least)
    : m_least(least)
{
}

double retry_after_schedule::ratePerSecond(monotonic_time now) const
{
    return m_rate * std::exp(-std::max(0.0, secondsBetween(m_takenAt, now)) / rateSeconds);
}

void retry_after_schedule::onAdmitted(double amount, monotonic_time now)
{
    m_rate = ratePerSecond(now) + amount / rateSeconds;
    m_takenAt = now;
}

milliseconds retry_after_schedule::onRefused(double amount, monotonic_time now)
{
    const double rate = std::max(ratePerSecond(now), leastRate * amount);
    const auto step
        = std::chrono::duration_cast<monotonic_span>(std::chrono::duration<double>(amount / rate));
    m_nextPlace = std::min(std::max(m_nextPlace, now + m_least) + step, now + longest);
    return std::chrono::duration_cast<milliseconds>(m_nextPlace - now);
}

} // namespace sagesaddle
