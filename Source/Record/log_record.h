#pragma once

#include "Record/fleet_state.h"
#include "Record/object_json.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace sagesaddle {

/// Schema version of the records that this program writes.
inline constexpr std::uint32_t defaultRecordSchema = 2;

/// Schema version of epoch records that name runs: programs that do not know runs skip the field.
inline constexpr std::uint32_t epochRunsSchema = 3;

/// Stream of the log that holds these records.
inline constexpr const char* configStream = "config";

/// Duty whose holder may write plan records.
inline constexpr const char* plannerDuty = "planner";

/// \brief An operator's change of the declared objects.
struct change_record {
    /// Revision that the change was made against.
    std::uint64_t baseRevision { 0 };
    std::string operatorName;
    std::vector<declared_object> put;
    std::vector<object_ref> remove;

    auto operator<=>(const change_record&) const = default;
};

/// \brief The state that a prefix of the log amounts to, for readers whose offset has lapsed.
struct snapshot_record {
    fleet_state_ptr state;
};

/// \brief Proposes the entries that share the teams' rates from here on.
struct epoch_record {
    /// Number of the epoch that it replaces.
    std::uint64_t previous { 0 };
    /// Names of entries, sorted.
    std::vector<std::string> members;
    /// Which process runs under a member's name, where the writer knew it.
    member_runs runs {};

    auto operator<=>(const epoch_record&) const = default;
};

/// \brief Asks for the lease on a duty.
struct lease_record {
    std::string duty;
    std::string holder;
    /// Fencing number of the lease that it replaces; 0 where there is none.
    std::uint64_t previousFence { 0 };

    auto operator<=>(const lease_record&) const = default;
};

/// \brief Changes the copies that the planner asks for beyond the declared ones.
struct plan_record {
    /// Fencing number of the writer's lease on `plannerDuty`.
    std::uint64_t fence { 0 };
    /// Copies to add; one that is there already is replaced.
    std::vector<placement> add;
    /// Copies to take back, by model and upstream; those that are not there are passed over.
    std::vector<std::pair<std::string, std::string>> remove;

    auto operator<=>(const plan_record&) const = default;
};

/// \brief A record whose kind this program does not know.
struct unknown_record {
    std::string kind;

    auto operator<=>(const unknown_record&) const = default;
};

using record_body
    = std::variant<change_record, snapshot_record, epoch_record, lease_record, plan_record, unknown_record>;

/// \brief A record of the `config` stream.
struct log_record {
    /// Chosen at random by the writer; a repeated id counts once.
    std::string id;
    std::uint32_t schema { defaultRecordSchema };
    record_body body;
};

/// \return the record as JSON text.
/// \throws std::invalid_argument for an unknown_record
std::string formatRecord(const log_record& record);

/// Parses a record of any content.
/// \throws record_error naming what is wrong
log_record parseRecord(std::string_view text);

/// \return a random id for a record.
std::string makeRecordId();

} // namespace sagesaddle
