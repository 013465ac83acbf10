#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Decides which requests a process that is stopping still takes, so that it cuts none when it exits.
/// No I/O and no clock.
class drain_schedule {
public:
    /// \param begin when the process was told to stop
    /// \param grace time from then until the process is killed
    drain_schedule(monotonic_time begin, milliseconds grace);

    /// \return when the process exits at the latest.
    monotonic_time exitAt() const { return m_exitAt; }
    /// \return when the last request may be sent to an upstream; until then callers may not have been routed
    /// elsewhere.
    monotonic_time admissionEnd() const { return m_admissionEnd; }
    /// \param usualDuration time that requests of this kind usually take; zero if it is not known
    /// \return whether a request that is sent to an upstream now ends before the process does, as far as can
    /// be expected.
    bool admits(monotonic_time now, monotonic_duration usualDuration) const;

    auto operator<=>(const drain_schedule&) const = default;

private:
    monotonic_time m_admissionEnd;
    monotonic_time m_exitAt;
};

} // namespace sagesaddle
