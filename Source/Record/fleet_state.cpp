#include "Record/fleet_state.h"

namespace sagesaddle {

namespace {

// Whether the prefix matches whole segments: `/a` matches `/a` and `/a/b`, but not `/ab`.
bool isPathPrefix(const std::string& prefix, const std::string& path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

void mergeCopy(placement_map& copies, const placement_map::value_type& planned)
{
    placement& copy = copies.insert(planned).first->second;
    copy.pinned = copy.pinned || planned.second.pinned;
}

} // namespace

placement_map effectivePlacements(const fleet_state& state)
{
    placement_map copies = state.placements;
    for (const auto& planned : state.plan)
        mergeCopy(copies, planned);
    return copies;
}

std::vector<placement> effectivePlacementsOn(const fleet_state& state, const std::string& upstream)
{
    placement_map copies;
    for (const auto& declared : state.placements)
        if (declared.second.upstream == upstream)
            copies.insert(declared);
    for (const auto& planned : state.plan)
        if (planned.second.upstream == upstream)
            mergeCopy(copies, planned);
    std::vector<placement> result;
    result.reserve(copies.size());
    for (const auto& [key, copy] : copies)
        result.push_back(copy);
    return result;
}

bool haveSamePlacements(const fleet_state& one, const fleet_state& other)
{
    return one.placements == other.placements && one.plan == other.plan;
}

const route* findRoute(const fleet_state& state, const std::string& path)
{
    const route* longest = nullptr;
    for (const auto& [prefix, candidate] : state.routes) {
        if (prefix.empty() || !isPathPrefix(prefix, path))
            continue;
        if (!longest || prefix.size() > longest->pathPrefix.size())
            longest = &candidate;
    }
    return longest;
}

} // namespace sagesaddle
