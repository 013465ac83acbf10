#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief The part of an upstream's recent answers that failed; pure.
///
/// Answers upstreams that fail part of their requests while their health check is good: each answer weighs
/// in, and the memory fades, so that an upstream that was eased off is tried again.
class failure_ratio {
public:
    /// Takes in one answer, or its loss.
    void onOutcome(bool isFault, monotonic_time now);

    /// \return the share as of now, from 0 to 1.
    double value(monotonic_time now) const;

private:
    double m_share { 0 };
    monotonic_time m_at {};
};

} // namespace sagesaddle
