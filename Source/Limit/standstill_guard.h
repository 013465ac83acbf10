#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Detects that the process stood still, and for how long after that its knowledge may be outdated. No
/// I/O and no clock; not thread-safe.
class standstill_guard {
public:
    /// Checks the time; to be called at least every 100 ms, and before each decision that depends on it.
    /// \param now time on the clock that counts suspension
    /// \return whether the process stood still and has not had the time yet to read what changed
    bool isCatchingUp(monotonic_time now);

private:
    monotonic_time m_checkedAt {};
    monotonic_time m_caughtUpAt {};
};

} // namespace sagesaddle
