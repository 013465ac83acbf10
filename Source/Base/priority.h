#pragma once

#include <optional>
#include <string_view>

namespace sagesaddle {

/// \brief The class of a request: interactive goes first, batch may wait but is never starved.
enum class priority {
    Interactive,
    Batch,
};

/// \return the name in records and frames: `interactive` or `batch`.
std::string_view nameOf(priority value);

/// \return the priority with that name, or nothing where there is none.
std::optional<priority> parsePriority(std::string_view name);

} // namespace sagesaddle
