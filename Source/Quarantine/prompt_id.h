#pragma once

#include <cstdint>
#include <vector>

namespace sagesaddle {

// A quarantine names a prompt part that several requests may share, or a prompt as a whole, with the part
// that belongs to its request alone. Both have ids of the same type, which the highest bit tells apart.

/// \return whether an id stands for a prompt as a whole.
constexpr bool isWholePrompt(std::uint64_t id)
{
    return (id >> 63U) != 0;
}

/// \param parts ids of all parts of a prompt, in order
/// \return the ids under which requests with the prompt may be in quarantine: of each part but the last, and
/// of the whole prompt; nothing if there are no parts
std::vector<std::uint64_t> quarantineIdsOf(const std::vector<std::uint64_t>& parts);

} // namespace sagesaddle
