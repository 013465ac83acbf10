#include "Record/plan_check.h"

#include "Record/object_json.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace sagesaddle {

namespace {

using copy_key = std::pair<std::string, std::string>;

std::string findFenceConflict(const fleet_state& state, const plan_record& plan)
{
    const auto lease = state.leases.find(plannerDuty);
    if (lease == state.leases.end())
        return "nobody has the lease on \"" + std::string(plannerDuty) + "\"";
    if (lease->second.fence == plan.fence)
        return {};
    return "written under fence " + std::to_string(plan.fence) + " of \"" + plannerDuty
        + "\", but the current one is " + std::to_string(lease->second.fence) + " of \""
        + lease->second.holder + "\"";
}

std::string findNameConflict(const fleet_state& state, const copy_key& key)
{
    const auto& [model, upstream] = key;
    const std::string copy = "copy \"" + placementName(model, upstream) + "\" needs ";
    if (!state.models.contains(model))
        return copy + "model \"" + model + "\", which does not exist";
    const auto host = state.upstreams.find(upstream);
    if (host == state.upstreams.end())
        return copy + "upstream \"" + upstream + "\", which does not exist";
    if (host->second.kind != upstream_kind::Engine)
        return copy + "upstream \"" + upstream + "\", which is no engine";
    return {};
}

// Memory of the declared and planned copies on each upstream, in megabytes.
std::map<std::string, std::uint64_t> placedMemory(const fleet_state& state, const placement_map& plan)
{
    std::map<std::string, std::uint64_t> placed;
    for (const auto& [key, copy] : state.placements)
        placed[copy.upstream] += state.models.at(copy.model).memoryMb;
    for (const auto& [key, copy] : plan)
        if (!state.placements.contains(key))
            placed[copy.upstream] += state.models.at(copy.model).memoryMb;
    return placed;
}

std::string findMemoryConflict(const fleet_state& state, const plan_record& plan)
{
    placement_map planned = state.plan;
    std::set<std::string> concerned;
    for (const copy_key& key : plan.remove)
        planned.erase(key);
    for (const placement& copy : plan.add) {
        planned.insert_or_assign({ copy.model, copy.upstream }, copy);
        concerned.insert(copy.upstream);
    }
    if (concerned.empty())
        return {};
    const auto placed = placedMemory(state, planned);
    for (const std::string& name : concerned) {
        const std::uint64_t room = state.upstreams.at(name).memoryMb;
        if (placed.at(name) > room)
            return "upstream \"" + name + "\" has " + std::to_string(room)
                + " MB, but the declared and planned copies on it need " + std::to_string(placed.at(name))
                + " MB";
    }
    return {};
}

} // namespace

std::string findConflict(const fleet_state& state, const plan_record& plan)
{
    std::string reason = findFenceConflict(state, plan);
    for (const copy_key& key : plan.remove)
        if (reason.empty())
            reason = findNameConflict(state, key);
    for (const placement& copy : plan.add)
        if (reason.empty())
            reason = findNameConflict(state, { copy.model, copy.upstream });
    return reason.empty() ? findMemoryConflict(state, plan) : reason;
}

void prunePlan(fleet_state& state)
{
    std::erase_if(state.plan, [&](const auto& item) { return !findNameConflict(state, item.first).empty(); });
    auto placed = placedMemory(state, state.plan);
    std::erase_if(state.plan, [&](const auto& item) {
        const auto& [key, copy] = item;
        std::uint64_t& used = placed[copy.upstream];
        if (state.placements.contains(key) || used <= state.upstreams.at(copy.upstream).memoryMb)
            return false;
        used -= state.models.at(copy.model).memoryMb;
        return true;
    });
}

} // namespace sagesaddle
