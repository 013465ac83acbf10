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

/// \brief Run ids by the entry name that a process runs under: a number other than 0 that each process draws
/// at its start, and that tells it from other processes under the same name.
using member_run_ids = std::map<std::string, std::uint64_t>;

/// \brief The entries that share the teams' rates, as an epoch record in the log lists them.
struct membership_epoch {
    /// Offset of the epoch record; 0 before the first one.
    std::uint64_t number { 0 };
    /// Names of the member entries, sorted.
    std::vector<std::string> members;
    /// Run id of each member's process; members that an older program listed have none.
    member_run_ids runs {};

    auto operator<=>(const membership_epoch&) const = default;
};

/// Largest number of past epochs that a state keeps.
inline constexpr std::size_t maxPastEpochs = 16;

/// \brief A lease on a duty that one entry at a time has for the whole fleet, granted by a record in the log.
struct lease_grant {
    std::string holder;
    /// Fencing token of the holder: the offset of the record that granted the lease.
    std::uint64_t fence { 0 };

    auto operator<=>(const lease_grant&) const = default;
};

/// Copies of models, by model and then by upstream.
using placement_map = std::map<std::pair<std::string, std::string>, placement>;

/// \brief State of the fleet after a prefix of the configuration log. Equal prefixes give equal states in
/// every process.
struct fleet_state {
    /// Offset of the next record to fold; all records below it are folded.
    std::uint64_t nextOffset { 0 };
    /// Offset of the last accepted change record plus one; 0 before the first. A change names the revision
    /// that it was made against.
    std::uint64_t revision { 0 };

    std::map<std::string, team> teams;
    /// By the hash of the secret.
    std::map<std::string, api_key> keys;
    std::map<std::string, model> models;
    std::map<std::string, upstream> upstreams;
    /// By path prefix.
    std::map<std::string, route> routes;
    /// Declared by operators.
    placement_map placements;
    std::map<std::string, entry_config> entries;
    /// Copies that the planner requests in addition to the declared placements; some may be declared as well.
    placement_map plan;

    membership_epoch epoch;
    /// Earlier epochs, oldest first, at most `maxPastEpochs`. The first epoch follows one with number 0 and
    /// no members.
    std::vector<membership_epoch> pastEpochs;
    /// By duty.
    std::map<std::string, lease_grant> leases;
    /// Offsets of folded records that a writer may still append again, by the record's id.
    std::map<std::string, std::uint64_t> recentIds;
    /// Fields of objects that a newer program wrote and this one does not know, as JSON text by `formatRef`
    /// of the object. Kept so that they are not lost when this program writes the object.
    std::map<std::string, std::string> unknownFields;

    bool operator==(const fleet_state&) const = default;
};

/// \brief A published state, shared by its readers and never changed.
using fleet_state_ptr = std::shared_ptr<const fleet_state>;

/// \return the declared and the planned copies; a copy is pinned if its declaration or the plan pins it.
placement_map effectivePlacements(const fleet_state& state);

/// \return the declared and the planned copies on one upstream, by model.
std::vector<placement> effectivePlacementsOn(const fleet_state& state, const std::string& upstream);

/// \return whether the declared and the planned copies are the same in both states.
bool haveSamePlacements(const fleet_state& one, const fleet_state& other);

/// \return the route with the longest path prefix that matches whole segments of `path`; null if none does.
/// Points into `state`.
const route* findRoute(const fleet_state& state, const std::string& path);

} // namespace sagesaddle
