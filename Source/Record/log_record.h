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

/// Schema version that records are written with, unless they need a newer one.
inline constexpr std::uint32_t defaultRecordSchema = 2;

/// Schema version of epoch records with run ids. Programs that do not know the field skip it, since it
/// belongs to a newer schema version.
inline constexpr std::uint32_t epochRunsSchema = 3;

/// Stream of the log that holds the configuration records.
inline constexpr const char* configStream = "config";

/// Duty whose lease holder may write plan records.
inline constexpr const char* plannerDuty = "planner";

/// \brief An operator's change of the declared objects; accepted as a whole or not at all.
struct change_record {
    /// Revision that the change was made against.
    std::uint64_t baseRevision { 0 };
    std::string operatorName;
    /// Objects to add, or to replace those of the same name.
    std::vector<declared_object> put;
    std::vector<object_ref> remove;

    auto operator<=>(const change_record&) const = default;
};

/// \brief The state after the records below it, for readers whose next offset is no longer in the log.
struct snapshot_record {
    fleet_state_ptr state;
};

/// \brief Proposes which entries share the teams' rates from this record on.
struct epoch_record {
    /// Number of the epoch that this one replaces.
    std::uint64_t previous { 0 };
    /// Names of entries, sorted.
    std::vector<std::string> members;
    /// Run ids of the members' processes, as far as the writer knew them.
    member_run_ids runs {};

    auto operator<=>(const epoch_record&) const = default;
};

/// \brief Requests the lease on a duty.
struct lease_record {
    std::string duty;
    std::string holder;
    /// Fencing token of the lease that it replaces; 0 if nobody had one.
    std::uint64_t previousFence { 0 };

    auto operator<=>(const lease_record&) const = default;
};

/// \brief Changes the copies that the planner requests in addition to the declared ones.
struct plan_record {
    /// Fencing token of the writer's lease on `plannerDuty`.
    std::uint64_t fence { 0 };
    /// Copies to add, or to replace those of the same model and upstream.
    std::vector<placement> add;
    /// Models and upstreams of copies to remove; copies that are not planned are ignored.
    std::vector<std::pair<std::string, std::string>> remove;

    auto operator<=>(const plan_record&) const = default;
};

/// \brief A record of a kind that this program does not know; can be read but not written.
struct unknown_record {
    std::string kind;

    auto operator<=>(const unknown_record&) const = default;
};

using record_body
    = std::variant<change_record, snapshot_record, epoch_record, lease_record, plan_record, unknown_record>;

/// \brief A record of the `config` stream.
struct log_record {
    /// Drawn at random by the writer. Of several records with the same id only the first one counts, so that
    /// a writer may repeat an append.
    std::string id;
    std::uint32_t schema { defaultRecordSchema };
    record_body body;
};

/// \return the record as JSON text.
/// \throws std::invalid_argument if the body is an unknown_record
std::string formatRecord(const log_record& record);

/// \param text a record; may be any bytes
/// \throws record_error that names what is wrong
log_record parseRecord(std::string_view text);

/// \return a random id for a record, 32 hexadecimal digits.
/// \throws std::runtime_error if the system has no random bytes
std::string makeRecordId();

} // namespace sagesaddle
