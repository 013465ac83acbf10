#include "Relay/relay_request.h"

#include "Quarantine/prompt_id.h"

namespace sagesaddle {

std::vector<std::uint64_t> relay_request::quarantineIds() const
{
    std::vector<std::uint64_t> ids;
    ids.reserve(parts.size());
    for (const auto& part : parts)
        ids.push_back(part.id);
    return quarantineIdsOf(ids);
}

} // namespace sagesaddle
