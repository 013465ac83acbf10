#pragma once

#include "Base/clock.h"

#include <compare>
#include <optional>

namespace sagesaddle {

/// \brief What a coordinator whose lease has ended knows about who reaches the store.
struct store_silence {
    /// The store answers none of this process's calls.
    bool isOwnStoreSilent { false };
    /// Every known gateway reported recently.
    bool hearsAllGateways { false };
    /// Every known gateway reported recently that it has no answer from the store either.
    bool isSilentForAll { false };
    /// Age up to which a report counts as recent.
    milliseconds maxReportAge { 0 };

    auto operator<=>(const store_silence&) const = default;
};

/// \brief Decides how long a coordinator goes on after the end of its lease, because nobody can renew or
/// acquire a lease in a store that answers nobody.
///
/// A gateway that hears the coordinator neither reads nor acquires the lease. One that does not hear it stops
/// reporting to it, or reports the store's answers. The coordinator therefore stops when a gateway falls
/// silent, when the store answers this process, and when a gateway goes on reporting that the store answers.
/// Such a report counts only some time after the lease has ended: a gateway reports an answer that it got
/// before the store fell silent for longer than the rest of the lease.
///
/// No I/O and no clock; not thread-safe. All times must be of a clock that goes on while the host is
/// suspended.
class lease_outlasting {
public:
    /// Records that the lease is held.
    void onLeaseHeld(monotonic_time now);
    /// Must be called at least every maxReportAge while the process goes on, since a process that was
    /// suspended has not heard who acquired the lease meanwhile.
    /// \return whether the coordinator may go on without the lease
    bool mayGoOn(const store_silence& silence, monotonic_time now);

private:
    std::optional<monotonic_time> m_lastHeldAt;
    /// The last time at which the coordinator held the lease or was allowed to go on without it.
    std::optional<monotonic_time> m_lastAllowedAt;
};

} // namespace sagesaddle
