#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief When refused callers may come back; pure.
///
/// Answers a burst that is turned away: callers that all return after the same time meet the same crowd
/// again. Each refusal takes the next place in a queue that moves as fast as work was lately taken on, so
/// that callers return in the order in which they were refused and at the rate at which they can be served.
class retry_after_schedule {
public:
    /// \param least shortest time to come back
    explicit retry_after_schedule(milliseconds least);

    /// Work was taken on.
    /// \param amount in requests or tokens, as for refusals
    void onAdmitted(double amount, monotonic_time now);

    /// A caller is refused.
    /// \return when it should come back, from now
    milliseconds onRefused(double amount, monotonic_time now);

private:
    double ratePerSecond(monotonic_time now) const;

    milliseconds m_least;
    double m_rate { 0 };
    monotonic_time m_takenAt {};
    monotonic_time m_nextPlace {};
};

} // namespace sagesaddle
