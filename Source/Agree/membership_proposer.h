#pragma once

#include "Base/clock.h"
#include "Record/fleet_state.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Decides when this entry proposes an epoch whose members are the entries that it hears from.
///
/// Only an entry that hears from a majority of the listed ones proposes. A member is left out only after
/// it was missed for a while; the proposers take turns in the order of their names.
class membership_proposer {
public:
    struct options {
        std::string self;
        /// How long a member must be missed before it is left out.
        milliseconds missedFor { 10000 };
        /// How long a change of what is heard must last before it is proposed.
        milliseconds settleFor { 1000 };
        /// How much longer each proposer waits than the one before it, and before it proposes again.
        milliseconds turn { 2000 };
    };

    /// When each peer was last heard from.
    using last_answer_times = std::map<std::string, monotonic_time>;

    membership_proposer(options settings, monotonic_time startedAt);

    /// \return the members of the epoch to propose now, sorted; nothing where there is none to propose.
    std::optional<std::vector<std::string>> proposal(
        monotonic_time now, const fleet_state& state, const last_answer_times& heard);

private:
    milliseconds missedFor(const fleet_state& state) const;
    bool hears(monotonic_time now, const fleet_state& state, const last_answer_times& heard,
        const std::string& entry) const;
    std::vector<std::string> wantedMembers(
        monotonic_time now, const fleet_state& state, const last_answer_times& heard) const;
    milliseconds turnOf(const std::vector<std::string>& members) const;

    options m_settings;
    monotonic_time m_startedAt;
    std::vector<std::string> m_wanted;
    monotonic_time m_wantedSince;
};

} // namespace sagesaddle
