#pragma once

#include "Record/fleet_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// Number of equal shares into which a team's rate and burst are divided.
inline constexpr std::uint32_t sharesPerTeam = 3;

/// \brief One share of a team's rate, identified by the entry that holds it.
struct team_share {
    std::string holder;
    /// Which of the holder's shares of the team. Not 0 only where there are fewer members than shares.
    std::uint32_t index { 0 };

    auto operator<=>(const team_share&) const = default;
};

/// \brief Start of a tenure: of the time for which an entry has held a share without a break.
struct tenure_start {
    /// Number of the epoch with which it began; 0 where that is before the epochs that the state remembers.
    std::uint64_t epoch { 0 };
    /// Whether that is the fleet's first epoch, so that no tokens of the share were used before.
    bool first { false };

    auto operator<=>(const tenure_start&) const = default;
};

/// \return the shares of a team, assigned to the members by rendezvous hashing; empty without members.
std::vector<team_share> sharesOf(
    const std::string& team, const std::vector<std::string>& members, std::uint32_t shares = sharesPerTeam);

/// \return the epochs after the one with this number, up to and including the current one, oldest first;
/// nothing where the state does not remember the epoch of this number.
std::optional<std::vector<const membership_epoch*>> epochsAfter(
    const fleet_state& state, std::uint64_t number);

/// \return since when the process that the current epoch lists under the holder's name has held the share.
tenure_start tenureOf(const std::string& team, const team_share& share, const fleet_state& state,
    std::uint32_t shares = sharesPerTeam);

/// \return number of the epoch since which the entry has been a member with the same run id without a break;
/// 0 where it is not a member, or where that epoch is before those that the state remembers.
std::uint64_t memberSince(const std::string& entry, const fleet_state& state);

bool isMember(const std::string& entry, const membership_epoch& epoch);

/// \return the run id that the epoch lists for the entry; 0 where it lists none.
std::uint64_t runIdOf(const std::string& entry, const membership_epoch& epoch);

/// \return whether every epoch lists the entry with this run id.
bool isListedInAll(
    const std::vector<const membership_epoch*>& epochs, const std::string& entry, std::uint64_t runId);

} // namespace sagesaddle
