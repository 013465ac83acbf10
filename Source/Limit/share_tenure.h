#pragma once

#include "Record/fleet_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// Equal shares that a team's rate and burst are cut into.
inline constexpr std::uint32_t sharesPerTeam = 3;

/// \brief One share of a team's rate, named by the entry that holds it.
struct team_share {
    std::string holder;
    /// Which of the holder's shares of the team; not 0 only where there are fewer members than shares.
    std::uint32_t index { 0 };

    auto operator<=>(const team_share&) const = default;
};

/// \brief Since when an entry has held a share without a break.
struct tenure_start {
    /// Number of the epoch; 0 where it began before the epochs that the state remembers.
    std::uint64_t epoch { 0 };
    /// No epoch came before it, so none of the share's tokens were used yet.
    bool first { false };

    auto operator<=>(const tenure_start&) const = default;
};

/// \return the shares of a team, handed to the members by rendezvous hashing; empty without members.
std::vector<team_share> sharesOf(
    const std::string& team, const std::vector<std::string>& members, std::uint32_t shares = sharesPerTeam);

/// \return the epochs after the one with this number up to the current one, oldest first; nothing where
/// the state does not remember so far.
std::optional<std::vector<const membership_epoch*>> epochsAfter(
    const fleet_state& state, std::uint64_t number);

/// \return since when the process that the current epoch lists by the holder's name has held the share.
tenure_start tenureOf(const std::string& team, const team_share& share, const fleet_state& state,
    std::uint32_t shares = sharesPerTeam);

/// \return number of the epoch since which the entry is a member with one run, without a break; 0 where it is
/// not, or where that began before the epochs that the state remembers.
std::uint64_t memberSince(const std::string& entry, const fleet_state& state);

bool isMember(const std::string& entry, const membership_epoch& epoch);

/// \return the run that the epoch lists beside the entry's name; 0 where it lists none.
std::uint64_t runOf(const std::string& entry, const membership_epoch& epoch);

/// \return whether every epoch lists the entry with this run.
bool isListedInAll(
    const std::vector<const membership_epoch*>& epochs, const std::string& entry, std::uint64_t run);

} // namespace sagesaddle
