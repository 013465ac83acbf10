#include "Limit/retry_after_schedule.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

// Time over which the rate of admitted work is averaged.
constexpr double rateAveragingSeconds = 2;
// Lowest rate, in refusals of the same amount a second, so that the queue advances without any work.
constexpr double minRate = 0.5;
// Longest time until a retry; the load beyond it cannot be foreseen.
constexpr milliseconds maxRetryAfter { 30000 };

} // namespace

retry_after_schedule::retry_after_schedule(milliseconds minRetryAfter)
    : m_minRetryAfter(minRetryAfter)
{
}

double retry_after_schedule::ratePerSecond(monotonic_time now) const
{
    return m_rateAtAdmission
        * std::exp(-std::max(0.0, secondsBetween(m_admittedAt, now)) / rateAveragingSeconds);
}

void retry_after_schedule::onAdmitted(double amount, monotonic_time now)
{
    m_rateAtAdmission = ratePerSecond(now) + amount / rateAveragingSeconds;
    m_admittedAt = now;
}

milliseconds retry_after_schedule::onRefused(double amount, monotonic_time now)
{
    const double rate = std::max(ratePerSecond(now), minRate * amount);
    const auto step
        = std::chrono::duration_cast<monotonic_duration>(std::chrono::duration<double>(amount / rate));
    m_lastRetryAt = std::min(std::max(m_lastRetryAt, now + m_minRetryAfter) + step, now + maxRetryAfter);
    return std::chrono::duration_cast<milliseconds>(m_lastRetryAt - now);
}

} // namespace sagesaddle
