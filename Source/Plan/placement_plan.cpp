#include "Plan/placement_plan.h"

namespace sagesaddle {

namespace {

// How many of the emptiest upstreams are looked at for a zone without a copy.
constexpr int candidatesPerSearch = 16;

} // namespace

placement_plan::placement_plan(const plan_view& view)
{
    for (const plan_model& model : view.models)
        m_models.emplace(model.name, model);
    for (const plan_upstream& upstream : view.upstreams) {
        site& at = m_sites[upstream.name];
        at.upstream = upstream;
        setFree(at, static_cast<std::int64_t>(upstream.memoryMb));
    }
    for (const plan_copy& copy : view.copies) {
        add(copy.model, copy.upstream, copy.pinned);
        if (copy.declared)
            m_declared.emplace(copy.model, copy.upstream);
    }
}

void placement_plan::apply(const plan_step& step)
{
    switch (step.action) {
    case plan_action::Add:
        add(step.model, step.upstream, false);
        break;
    case plan_action::Remove:
        remove(step.model, step.upstream);
        break;
    case plan_action::Pin:
        m_copies[step.model][step.upstream] = true;
        break;
    case plan_action::Unpin:
        m_copies[step.model][step.upstream] = false;
        break;
    }
}

const std::map<std::string, bool>& placement_plan::copiesOf(const std::string& model) const
{
    static const std::map<std::string, bool> none;
    const auto found = m_copies.find(model);
    return found == m_copies.end() ? none : found->second;
}

bool placement_plan::isDeclared(const std::string& model, const std::string& upstream) const
{
    return m_declared.contains({ model, upstream });
}

bool placement_plan::isUsable(const std::string& upstream) const
{
    const auto found = m_sites.find(upstream);
    return found != m_sites.end() && found->second.upstream.usable;
}

bool placement_plan::isResident(const std::string& model, const std::string& upstream) const
{
    const auto found = m_sites.find(upstream);
    return found != m_sites.end() && found->second.upstream.resident.contains(model);
}

std::int64_t placement_plan::freeMemory(const std::string& upstream) const
{
    const auto found = m_sites.find(upstream);
    return found == m_sites.end() ? 0 : found->second.free;
}

void placement_plan::setFree(site& at, std::int64_t free)
{
    m_byFree.erase({ at.free, at.upstream.name });
    at.free = free;
    if (at.upstream.usable)
        m_byFree.insert({ free, at.upstream.name });
}

bool placement_plan::holdsAdapterOf(const std::string& base, const site& at) const
{
    for (const std::string& name : at.models) {
        const auto found = m_models.find(name);
        if (found != m_models.end() && found->second.base == base)
            return true;
    }
    return false;
}

std::int64_t placement_plan::costOf(const plan_model& model, const site& at) const
{
    auto cost = static_cast<std::int64_t>(model.memoryMb);
    if (model.base.empty())
        return holdsAdapterOf(model.name, at) ? 0 : cost;
    const auto base = m_models.find(model.base);
    if (base != m_models.end() && !at.models.contains(model.base) && !holdsAdapterOf(model.base, at))
        cost += static_cast<std::int64_t>(base->second.memoryMb);
    return cost;
}

void placement_plan::add(const std::string& model, const std::string& upstream, bool pinned)
{
    const auto found = m_sites.find(upstream);
    const auto known = m_models.find(model);
    m_copies[model][upstream] = pinned;
    if (found == m_sites.end() || known == m_models.end())
        return;
    site& at = found->second;
    if (at.models.contains(model))
        return;
    const std::int64_t cost = costOf(known->second, at);
    at.models.insert(model);
    setFree(at, at.free - cost);
    if (at.upstream.usable && !at.upstream.resident.contains(model))
        ++m_loading;
}

void placement_plan::remove(const std::string& model, const std::string& upstream)
{
    m_copies[model].erase(upstream);
    const auto found = m_sites.find(upstream);
    const auto known = m_models.find(model);
    if (found == m_sites.end() || known == m_models.end() || found->second.models.erase(model) == 0)
        return;
    site& at = found->second;
    setFree(at, at.free + costOf(known->second, at));
    if (at.upstream.usable && !at.upstream.resident.contains(model) && m_loading > 0)
        --m_loading;
}

std::optional<std::string> placement_plan::findLoaded(const plan_model& model) const
{
    for (const auto& [name, at] : m_sites) {
        const bool isLoaded = at.upstream.usable && at.upstream.resident.contains(model.name);
        if (isLoaded && !at.models.contains(model.name) && at.free >= costOf(model, at))
            return name;
    }
    return std::nullopt;
}

std::string placement_plan::zoneOf(const std::string& upstream) const
{
    const auto found = m_sites.find(upstream);
    return found == m_sites.end() ? std::string() : found->second.upstream.zone;
}

std::optional<std::string> placement_plan::findRoom(const plan_model& model) const
{
    if (auto beside = findBesideBase(model))
        return beside;
    return findByFreeMemory(model);
}

std::optional<std::string> placement_plan::findBesideBase(const plan_model& model) const
{
    if (model.base.empty())
        return std::nullopt;
    std::optional<std::string> best;
    for (const auto& [upstream, pinned] : copiesOf(model.base)) {
        const auto found = m_sites.find(upstream);
        if (found == m_sites.end() || !found->second.upstream.usable
            || found->second.models.contains(model.name))
            continue;
        if (found->second.free < costOf(model, found->second))
            continue;
        if (!best || found->second.free > m_sites.at(*best).free)
            best = upstream;
    }
    return best;
}

std::optional<std::string> placement_plan::findByFreeMemory(const plan_model& model) const
{
    std::set<std::string> zones;
    for (const auto& [upstream, pinned] : copiesOf(model.name)) {
        const auto found = m_sites.find(upstream);
        if (found != m_sites.end() && found->second.upstream.usable)
            zones.insert(found->second.upstream.zone);
    }
    std::optional<std::string> fallback;
    int looked = 0;
    for (auto candidate = m_byFree.rbegin(); candidate != m_byFree.rend() && looked < candidatesPerSearch;
         ++candidate) {
        const site& at = m_sites.at(candidate->second);
        if (at.models.contains(model.name))
            continue;
        ++looked;
        if (at.free < costOf(model, at))
            continue;
        if (!zones.contains(at.upstream.zone))
            return candidate->second;
        if (!fallback)
            fallback = candidate->second;
    }
    return fallback;
}

bool placement_plan::isSpare(const std::string& model, const std::string& upstream) const
{
    const auto& copies = copiesOf(model);
    const auto here = copies.find(upstream);
    if (here == copies.end() || here->second || isDeclared(model, upstream))
        return false;
    for (const auto& [other, pinned] : copies) {
        if (other != upstream && isUsable(other))
            return true;
    }
    return false;
}

std::optional<placement_plan::room_by_removal> placement_plan::findRoomByRemoval(
    const plan_model& model) const
{
    for (auto candidate = m_byFree.rbegin(); candidate != m_byFree.rend(); ++candidate) {
        const site& at = m_sites.at(candidate->second);
        room_by_removal found { candidate->second, {} };
        std::int64_t free = at.free;
        for (const std::string& other : at.models) {
            if (free >= costOf(model, at))
                break;
            const auto known = m_models.find(other);
            if (other == model.base || known == m_models.end() || !isSpare(other, candidate->second))
                continue;
            // A base model frees nothing while adapters of it stay, so only what it surely frees counts.
            if (known->second.base.empty() && holdsAdapterOf(other, at))
                continue;
            free += static_cast<std::int64_t>(known->second.memoryMb);
            found.steps.push_back({ plan_action::Remove, other, candidate->second, "room" });
        }
        if (free >= costOf(model, at))
            return found;
    }
    return std::nullopt;
}

} // namespace sagesaddle
