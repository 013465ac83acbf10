#include "Record/fleet_state.h"

namespace sagesaddle {

namespace {

bool isPathPrefix(const std::string& prefix, const std::string& path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

placement_map effectivePlacements(const fleet_state& state)
{
    placement_map copies = state.placements;
    for (const auto& [key, planned] : state.plan) {
        const auto [copy, added] = copies.emplace(key, planned);
        copy->second.pinned = copy->second.pinned || planned.pinned;
    }
    return copies;
}

const route* findRoute(const fleet_state& state, const std::string& path)
{
    const route* best = nullptr;
    for (const auto& [prefix, candidate] : state.routes) {
        if (prefix.empty() || !isPathPrefix(prefix, path))
            continue;
        if (!best || prefix.size() > best->pathPrefix.size())
            best = &candidate;
    }
    return best;
}

} // namespace sagesaddle
