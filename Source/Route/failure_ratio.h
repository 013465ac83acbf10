#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Estimates the part of an upstream's recent answers that failed.
///
/// Detects upstreams that fail some of their requests although their health check passes. Each answer moves
/// the ratio, and the ratio decays with time, so that an upstream that got fewer requests because of it is
/// tried again.
///
/// Performs no I/O and reads no clock; not thread-safe.
class failure_ratio {
public:
    /// \brief Records the outcome of one request.
    /// \param failed the answer was an error or got lost
    void onOutcome(bool failed, monotonic_time now);

    /// \return the ratio at that time, from 0 to 1.
    double value(monotonic_time now) const;

private:
    double m_ratio { 0 };
    monotonic_time m_updatedAt {};
};

} // namespace sagesaddle
