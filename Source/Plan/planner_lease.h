#pragma once

#include "Base/clock.h"
#include "Record/fleet_state.h"
#include "Record/log_record.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief Decides when this entry acquires and renews the planner lease, and tells whether it holds the
/// lease.
///
/// The lease is granted by the order of the records in the log: a lease record names the fencing token that
/// it replaces, so only one of several entries that append at the same time acquires the lease. After the
/// lease has expired, the entries try to acquire it one after the other.
///
/// The holder counts the lease's time from before it appended its record, the other entries from when they
/// read that record. Therefore two entries never consider themselves the holder at the same time, and clocks
/// of two processes are never compared.
///
/// No I/O and no clock; not thread-safe.
class planner_lease {
public:
    struct options {
        /// Name of this entry in the records.
        std::string self;
        /// Time without a renewal after which other entries may acquire the lease. They count it from when
        /// they read the last record.
        milliseconds timeToLive { 10000 };
        /// The holder treats the lease as expired this much earlier than the others do.
        milliseconds expiryMargin { 1000 };
        /// Time between two renewals. Each is an append, of which the fleet's log takes only few.
        milliseconds renewalInterval { 5000 };
        /// How much longer each entry waits for a free lease than the entry before it, by name.
        milliseconds turnDelay { 1000 };
        /// Shortest time between two records of this entry.
        milliseconds minAttemptInterval { 2000 };
    };

    explicit planner_lease(options settings);

    /// The newest state was read from the log.
    void onState(const fleet_state& state, monotonic_time now);

    /// \return the record to append now, to acquire or renew the lease; empty if there is none. Returning a
    ///         record starts the minAttemptInterval, whether or not the append succeeds.
    std::optional<lease_record> nextRecord(monotonic_time now);

    /// The record that nextRecord() returned was appended. The lease is held when a state shows that it was
    /// granted.
    /// \param sentAt time before the append
    /// \param offset offset of the record in the log
    void onAppended(monotonic_time sentAt, std::uint64_t offset);

    /// \return the fencing token for plans; empty while the lease is not held, may have expired or is being
    ///         renewed.
    std::optional<std::uint64_t> fence(monotonic_time now) const;

private:
    /// A lease record of this entry.
    struct own_record {
        /// Fencing token: the offset of the record.
        std::uint64_t fence { 0 };
        monotonic_time sentAt;
    };

    bool isHeld(monotonic_time now) const;
    /// \return how much longer this entry waits than the first one for a free lease.
    milliseconds turnDelayIn(const fleet_state& state) const;

    options m_settings;
    std::optional<lease_grant> m_grant;
    // When m_grant was first read.
    monotonic_time m_grantReadAt;
    bool m_hasState { false };
    // Whether the records list this entry.
    bool m_isListed { false };
    milliseconds m_turnDelay { 0 };
    std::optional<monotonic_time> m_lastAttemptAt;
    // Appended, but not yet contained in a state that was read.
    std::optional<own_record> m_pending;
    std::optional<own_record> m_held;
};

} // namespace sagesaddle
