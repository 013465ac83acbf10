#include "Base/priority.h"

namespace sagesaddle {

std::string_view nameOf(priority value)
{
    return value == priority::Interactive ? "interactive" : "batch";
}

std::optional<priority> parsePriority(std::string_view name)
{
    if (name == "interactive")
        return priority::Interactive;
    if (name == "batch")
        return priority::Batch;
    return std::nullopt;
}

} // namespace sagesaddle
