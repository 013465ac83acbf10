#pragma once

#include "Record/fleet_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sagesaddle {

/// Ids of records are remembered for at least this many offsets; an append is sent again only within them.
inline constexpr std::uint64_t idRetentionOffsets = 1024;

/// \brief What a record did to the state.
enum class fold_outcome {
    Accepted,
    /// Made against a state that is no longer the current one, or in conflict with it.
    Rejected,
    /// Its id was folded before.
    Duplicate,
    UnknownKind,
    Malformed,
};

/// \return the outcome's name, such as `accepted`.
std::string_view nameOf(fold_outcome outcome);

/// \brief The state after a record, and what the record did to it.
struct fold_result {
    fleet_state state;
    fold_outcome outcome { fold_outcome::Malformed };
    /// Why the record was not accepted; empty where it was.
    std::string reason;

    bool operator==(const fold_result&) const = default;
};

/// Folds one record into the state: the same prefix of the log gives the same state everywhere.
/// \param state state below `offset`; moved from, so that folding many records copies nothing
/// \param text the record, of any content
/// \throws std::invalid_argument where `offset` is not the state's next offset
fold_result fold(fleet_state state, std::uint64_t offset, std::string_view text);

} // namespace sagesaddle
