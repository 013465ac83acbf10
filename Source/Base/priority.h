#pragma once

#include <optional>
#include <string_view>

namespace sagesaddle {

/// \brief The priority class of a request: interactive requests go first; batch requests may wait but never
/// starve.
enum class priority {
    Interactive,
    Batch,
};

/// \return the priority's name in records and frames: `interactive` or `batch`.
std::string_view nameOf(priority value);

/// \return the priority with that name, or nothing if no priority has it.
std::optional<priority> parsePriority(std::string_view name);

} // namespace sagesaddle
