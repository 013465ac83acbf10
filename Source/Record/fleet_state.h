#pragma once

#include "Record/objects.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sagesaddle {

/// Numbers that processes draw at their start, by the name they run under; never 0.
using member_runs = std::map<std::string, std::uint64_t>;

/// \brief The entries that share the teams' rates, fixed by a record in the log.
struct membership_epoch {
    /// Offset of the record; 0 before there is one.
    std::uint64_t number { 0 };
    /// Names of the member entries, sorted.
    std::vector<std::string> members;
    /// Which process runs under a member's name; a member that an older program listed has none.
    member_runs runs {};

    auto operator<=>(const membership_epoch&) const = default;
};

/// Number of past epochs that a state remembers.
inline constexpr std::size_t maxPastEpochs = 16;

/// \brief A lease on a fleet-wide duty, granted by a record in the log.
struct lease_grant {
    std::string holder;
    /// Offset of the record that granted it: the fencing number of its holder.
    std::uint64_t fence { 0 };

    auto operator<=>(const lease_grant&) const = default;
};

/// Copies by model, then upstream.
using placement_map = std::map<std::pair<std::string, std::string>, placement>;

/// \brief What a prefix of the configuration log amounts to; equal prefixes give equal states.
struct fleet_state {
    /// Offset of the next record to fold: every record below it is in.
    std::uint64_t nextOffset { 0 };
    /// Offset of the last accepted operator change plus one; 0 before the first. A change names the
    /// revision it was made against.
    std::uint64_t revision { 0 };

    std::map<std::string, team> teams;
    /// By the hash of the secret.
    std::map<std::string, api_key> keys;
    std::map<std::string, model> models;
    std::map<std::string, upstream> upstreams;
    /// By path prefix.
    std::map<std::string, route> routes;
    /// By model, then upstream.
    placement_map placements;
    std::map<std::string, entry_config> entries;
    /// Copies that the planner asks for beyond the declared placements, by model, then upstream.
    placement_map plan;

    membership_epoch epoch;
    /// The epochs before it, oldest first and at most `maxPastEpochs` of them; the first epoch's
    /// predecessor is number 0 without members.
    std::vector<membership_epoch> pastEpochs;
    /// By duty.
    std::map<std::string, lease_grant> leases;
    /// Ids of folded records that may still be appended again, with their offsets.
    std::map<std::string, std::uint64_t> recentIds;
    /// Fields that newer programs wrote and this one does not know, as JSON text by the object's reference.
    std::map<std::string, std::string> unknownFields;

    bool operator==(const fleet_state&) const = default;
};

/// A state as readers hold it: never changed after it was published.
using fleet_state_ptr = std::shared_ptr<const fleet_state>;

/// \return the declared and the planned copies; one is pinned if either says so.
placement_map effectivePlacements(const fleet_state& state);

/// \return those of an upstream, by model.
std::vector<placement> effectivePlacementsOn(const fleet_state& state, const std::string& upstream);

/// \return whether the declared and the planned copies are the same in both states.
bool haveSamePlacements(const fleet_state& one, const fleet_state& other);

/// \return the route with the longest prefix of the path, or nothing where none fits.
const route* findRoute(const fleet_state& state, const std::string& path);

} // namespace sagesaddle
