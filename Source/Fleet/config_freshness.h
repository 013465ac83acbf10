#pragma once

#include "Base/clock.h"

#include <optional>

namespace sagesaddle {

/// \brief Tracks when the known configuration was last confirmed to be the newest, and refuses API keys when
/// that is too long ago.
///
/// An API key may have been withdrawn since the last confirmation. A read of the store that was answered
/// contains everything that was acknowledged before the read was sent, so it confirms the configuration as of
/// its sending.
///
/// No I/O and no clock; not thread-safe. All times must be of a clock that goes on while the host is
/// suspended.
class config_freshness {
public:
    /// \param maxConfigAge time since the last confirmation from which requests with API keys are refused
    explicit config_freshness(monotonic_duration maxConfigAge);

    /// Replaces the bound; it applies to the existing confirmation as well.
    void setMaxConfigAge(monotonic_duration maxConfigAge) { m_maxConfigAge = maxConfigAge; }

    /// Records that a read of the configuration was answered and applied.
    /// \param sentAt when the read was sent; a time before the last confirmation changes nothing
    void onConfigConfirmed(monotonic_time sentAt);

    /// \return whether requests with API keys may be sent on; false before the first confirmation.
    bool mayAcceptApiKeys(monotonic_time now) const;

    /// \return the time since the last confirmation, or nothing before the first one.
    std::optional<monotonic_duration> age(monotonic_time now) const;

private:
    monotonic_duration m_maxConfigAge;
    std::optional<monotonic_time> m_confirmedAt;
};

} // namespace sagesaddle
