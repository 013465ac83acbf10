#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Tells refused callers when to retry. No I/O and no clock; not thread-safe.
///
/// Callers that are refused in a burst and told the same time come back as the same burst. Each refusal
/// therefore takes the next place in a queue that advances at the rate at which work was admitted lately:
/// callers retry in the order of their refusals, at the rate at which they can be served.
class retry_after_schedule {
public:
    /// \param minRetryAfter shortest time until a retry
    explicit retry_after_schedule(milliseconds minRetryAfter);

    /// Records admitted work.
    /// \param amount in requests or tokens, the same unit as for refusals
    void onAdmitted(double amount, monotonic_time now);

    /// Records a refusal and gives it the next place in the queue.
    /// \param amount in the unit of admitted work
    /// \return time until the caller should retry, at most 30 s
    milliseconds onRefused(double amount, monotonic_time now);

private:
    /// \return recent rate of admitted work, in amounts a second.
    double ratePerSecond(monotonic_time now) const;

    milliseconds m_minRetryAfter;
    /// Rate of admitted work at the time of the last admission, in amounts a second.
    double m_rateAtAdmission { 0 };
    monotonic_time m_admittedAt {};
    /// When the caller that was refused last should retry.
    monotonic_time m_lastRetryAt {};
};

} // namespace sagesaddle
