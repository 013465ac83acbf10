#include "Quarantine/prompt_id.h"

#include <xxhash.h>

namespace sagesaddle {

namespace {

constexpr std::uint64_t wholePromptBit = std::uint64_t { 1 } << 63U;

} // namespace

std::vector<std::uint64_t> quarantineIdsOf(const std::vector<std::uint64_t>& parts)
{
    std::vector<std::uint64_t> ids(parts);
    if (ids.empty())
        return ids;
    for (std::uint64_t& id : ids)
        id &= ~wholePromptBit;
    ids.back() = XXH64(parts.data(), parts.size() * sizeof(parts.front()), 0) | wholePromptBit;
    return ids;
}

} // namespace sagesaddle
