#pragma once

#include "Base/clock.h"
#include "Record/fleet_state.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Decides when this entry proposes a membership epoch, whose members are the entries that answer it.
///
/// Only an entry that has recent answers of a majority of the listed entries, itself included, proposes. A
/// member is left out only after it gave no answer for `memberExpiry`. The proposers take turns in the order
/// of their names, so that they do not all propose at once.
class membership_proposer {
public:
    struct options {
        std::string self;
        /// Time without an answer after which a member is left out.
        milliseconds memberExpiry { 10000 };
        /// How long the members to propose must stay the same before they are proposed.
        milliseconds stableFor { 1000 };
        /// How much longer each proposer waits than the one before it in the order of names, also before it
        /// proposes again.
        milliseconds turnDelay { 2000 };
    };

    /// When the request was sent that each peer answered last.
    using last_answer_times = std::map<std::string, monotonic_time>;

    membership_proposer(options settings, monotonic_time startedAt);

    /// \return the members of the epoch to propose now, sorted; nothing where there is none to propose.
    std::optional<std::vector<std::string>> proposal(
        monotonic_time now, const fleet_state& state, const last_answer_times& lastAnswers);

private:
    milliseconds memberExpiry(const fleet_state& state) const;
    bool isLive(monotonic_time now, const fleet_state& state, const last_answer_times& lastAnswers,
        const std::string& entry) const;
    std::vector<std::string> wantedMembers(
        monotonic_time now, const fleet_state& state, const last_answer_times& lastAnswers) const;
    milliseconds turnDelayOf(const std::vector<std::string>& members) const;

    options m_settings;
    monotonic_time m_startedAt;
    std::vector<std::string> m_wanted;
    monotonic_time m_wantedSince;
};

} // namespace sagesaddle
