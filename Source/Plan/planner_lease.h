#pragma once

#include "Base/clock.h"
#include "Record/fleet_state.h"
#include "Record/log_record.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief Whether this entry holds the lease on planning, and when to ask for it or renew it; pure.
///
/// The log grants the lease: a record names the fence that it replaces, so one of several askers wins. A
/// lease that was not renewed for a while is asked for by the entries in turn. Its holder counts from before
/// it asked, and the others from when they read of it, so no two believe that they hold it at once. Clocks of
/// two processes are never compared.
class planner_lease {
public:
    struct options {
        /// Name of this entry in the records.
        std::string self;
        /// How long the others wait after they read of the last renewal.
        milliseconds lapse { 10000 };
        /// How much earlier than that the holder stops.
        milliseconds margin { 1000 };
        /// Time between renewals: each is an append, and a fleet's log takes few.
        milliseconds renewEvery { 5000 };
        /// How much longer each entry waits than the one before it.
        milliseconds turn { 1000 };
        /// Shortest time between two asks.
        milliseconds askAgain { 2000 };
    };

    explicit planner_lease(options settings);

    /// Takes in the newest state read.
    void onState(const fleet_state& state, monotonic_time now);

    /// \return the record to append now, or nothing; each counts as asked.
    std::optional<lease_record> nextRecord(monotonic_time now);

    /// Notes that the record of nextRecord() was appended.
    /// \param askedAt time before the append
    /// \param offset where it stands in the log; the lease is held once a state shows it granted
    void onAppended(monotonic_time askedAt, std::uint64_t offset);

    /// \return the fence to plan under, or nothing while the lease is not held, may have lapsed or is being
    /// renewed.
    std::optional<std::uint64_t> fence(monotonic_time now) const;

private:
    struct tenure {
        std::uint64_t fence { 0 };
        monotonic_time since;
    };

    bool isHeld(monotonic_time now) const;
    milliseconds waitForTurn(const fleet_state& state) const;

    options m_settings;
    std::optional<lease_grant> m_grant;
    monotonic_time m_grantSeen;
    bool m_started { false };
    bool m_listed { false };
    milliseconds m_turn { 0 };
    std::optional<monotonic_time> m_askedAt;
    // Appended, and not yet seen in a state.
    std::optional<tenure> m_asked;
    std::optional<tenure> m_held;
};

} // namespace sagesaddle
