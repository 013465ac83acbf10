#pragma once

#include "Record/fleet_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sagesaddle {

/// Number of offsets for which the id of a folded record is kept at least. A writer may repeat an append only
/// within them, since a later copy would count as a new record.
inline constexpr std::uint64_t idRetentionOffsets = 1024;

/// \brief What became of a record. Only an accepted one changes more of the state than its next offset and
/// the ids that it keeps.
enum class fold_outcome {
    Accepted,
    /// Made against a state that has changed since, or in conflict with the current one.
    Rejected,
    /// A record with the same id was folded before.
    Duplicate,
    /// This program does not know its kind.
    UnknownKind,
    /// Not a valid record.
    Malformed,
};

/// \return the outcome's name, such as `accepted`.
std::string_view nameOf(fold_outcome outcome);

/// \brief The state after a record, and what became of the record.
struct fold_result {
    fleet_state state;
    fold_outcome outcome { fold_outcome::Malformed };
    /// Why the record was not accepted; empty where it was.
    std::string reason;

    bool operator==(const fold_result&) const = default;
};

/// \brief Applies one record to the state. The result depends on the arguments alone, so that the same prefix
/// of the log gives the same state in every process.
/// \param state state after the records below `offset`; move it in, so that nothing is copied
/// \param text the record; may be any bytes
/// \throws std::invalid_argument if `offset` is not the state's next offset
fold_result fold(fleet_state state, std::uint64_t offset, std::string_view text);

} // namespace sagesaddle
