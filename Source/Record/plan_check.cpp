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
        return "no entry holds lease \"" + std::string(plannerDuty) + "\"";
    if (lease->second.fence == plan.fence)
        return {};
    return "written under fence " + std::to_string(plan.fence) + " of lease \"" + plannerDuty
        + "\", but the current fence is " + std::to_string(lease->second.fence) + " of \""
        + lease->second.holder + "\"";
}

std::string findReferenceConflict(const fleet_state& state, const copy_key& key)
{
    const auto& [model, upstream] = key;
    const std::string copy = "copy \"" + placementName(model, upstream) + "\" needs ";
    if (!state.models.contains(model))
        return copy + "model \"" + model + "\", which does not exist";
    const auto found = state.upstreams.find(upstream);
    if (found == state.upstreams.end())
        return copy + "upstream \"" + upstream + "\", which does not exist";
    if (found->second.kind != upstream_kind::Engine)
        return copy + "upstream \"" + upstream + "\", which is not an engine";
    return {};
}

// Memory that the declared and planned copies on each upstream need, in megabytes. A copy that is both counts
// once.
std::map<std::string, std::uint64_t> requiredMemoryMb(const fleet_state& state, const placement_map& plan)
{
    std::map<std::string, std::uint64_t> requiredMb;
    for (const auto& [key, copy] : state.placements)
        requiredMb[copy.upstream] += state.models.at(copy.model).memoryMb;
    for (const auto& [key, copy] : plan)
        if (!state.placements.contains(key))
            requiredMb[copy.upstream] += state.models.at(copy.model).memoryMb;
    return requiredMb;
}

std::string findMemoryConflict(const fleet_state& state, const plan_record& plan)
{
    placement_map planned = state.plan;
    std::set<std::string> changedUpstreams;
    for (const copy_key& key : plan.remove)
        planned.erase(key);
    for (const placement& copy : plan.add) {
        planned.insert_or_assign({ copy.model, copy.upstream }, copy);
        changedUpstreams.insert(copy.upstream);
    }
    if (changedUpstreams.empty())
        return {};
    const auto requiredMb = requiredMemoryMb(state, planned);
    for (const std::string& name : changedUpstreams) {
        const std::uint64_t availableMb = state.upstreams.at(name).memoryMb;
        if (requiredMb.at(name) > availableMb)
            return "upstream \"" + name + "\" has " + std::to_string(availableMb)
                + " MB, but the declared and planned copies on it need " + std::to_string(requiredMb.at(name))
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
            reason = findReferenceConflict(state, key);
    for (const placement& copy : plan.add)
        if (reason.empty())
            reason = findReferenceConflict(state, { copy.model, copy.upstream });
    return reason.empty() ? findMemoryConflict(state, plan) : reason;
}

void prunePlan(fleet_state& state)
{
    // Before any memory is summed up, which needs the models of all copies.
    std::erase_if(
        state.plan, [&](const auto& item) { return !findReferenceConflict(state, item.first).empty(); });
    auto requiredMb = requiredMemoryMb(state, state.plan);
    std::erase_if(state.plan, [&](const auto& item) {
        const auto& [key, copy] = item;
        std::uint64_t& neededMb = requiredMb[copy.upstream];
        if (state.placements.contains(key) || neededMb <= state.upstreams.at(copy.upstream).memoryMb)
            return false;
        neededMb -= state.models.at(copy.model).memoryMb;
        return true;
    });
}

} // namespace sagesaddle
