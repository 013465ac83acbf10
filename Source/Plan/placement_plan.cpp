#include "Plan/placement_plan.h"

namespace sagesaddle {

namespace {

// Number of upstreams, those with the most free memory, that are searched for a zone without a copy.
constexpr int maxCandidates = 16;

} // namespace

placement_plan::placement_plan(const plan_view& view)
{
    for (const plan_model& model : view.models)
        m_models.emplace(model.name, model);
    for (const plan_upstream& upstream : view.upstreams) {
        upstream_usage& usage = m_usages[upstream.name];
        usage.upstream = upstream;
        setFreeMb(usage, static_cast<std::int64_t>(upstream.memoryMb));
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
    const auto found = m_usages.find(upstream);
    return found != m_usages.end() && found->second.upstream.usable;
}

bool placement_plan::isResident(const std::string& model, const std::string& upstream) const
{
    const auto found = m_usages.find(upstream);
    return found != m_usages.end() && found->second.upstream.resident.contains(model);
}

std::int64_t placement_plan::freeMemoryMb(const std::string& upstream) const
{
    const auto found = m_usages.find(upstream);
    return found == m_usages.end() ? 0 : found->second.freeMb;
}

void placement_plan::setFreeMb(upstream_usage& usage, std::int64_t freeMb)
{
    m_usableByFreeMb.erase({ usage.freeMb, usage.upstream.name });
    usage.freeMb = freeMb;
    if (usage.upstream.usable)
        m_usableByFreeMb.insert({ freeMb, usage.upstream.name });
}

bool placement_plan::hasAdapterOf(const std::string& base, const upstream_usage& usage) const
{
    for (const std::string& name : usage.models) {
        const auto found = m_models.find(name);
        if (found != m_models.end() && found->second.base == base)
            return true;
    }
    return false;
}

std::int64_t placement_plan::memoryCostMb(const plan_model& model, const upstream_usage& usage) const
{
    auto cost = static_cast<std::int64_t>(model.memoryMb);
    if (model.base.empty())
        return hasAdapterOf(model.name, usage) ? 0 : cost;
    const auto base = m_models.find(model.base);
    if (base != m_models.end() && !usage.models.contains(model.base) && !hasAdapterOf(model.base, usage))
        cost += static_cast<std::int64_t>(base->second.memoryMb);
    return cost;
}

void placement_plan::add(const std::string& model, const std::string& upstream, bool pinned)
{
    const auto found = m_usages.find(upstream);
    const auto known = m_models.find(model);
    m_copies[model][upstream] = pinned;
    if (found == m_usages.end() || known == m_models.end())
        return;
    upstream_usage& usage = found->second;
    if (usage.models.contains(model))
        return;
    const std::int64_t cost = memoryCostMb(known->second, usage);
    usage.models.insert(model);
    setFreeMb(usage, usage.freeMb - cost);
    if (usage.upstream.usable && !usage.upstream.resident.contains(model))
        ++m_loadingCopies;
}

void placement_plan::remove(const std::string& model, const std::string& upstream)
{
    m_copies[model].erase(upstream);
    const auto found = m_usages.find(upstream);
    const auto known = m_models.find(model);
    if (found == m_usages.end() || known == m_models.end() || found->second.models.erase(model) == 0)
        return;
    upstream_usage& usage = found->second;
    setFreeMb(usage, usage.freeMb + memoryCostMb(known->second, usage));
    if (usage.upstream.usable && !usage.upstream.resident.contains(model) && m_loadingCopies > 0)
        --m_loadingCopies;
}

std::optional<std::string> placement_plan::findLoaded(const plan_model& model) const
{
    for (const auto& [name, usage] : m_usages) {
        const bool isLoaded = usage.upstream.usable && usage.upstream.resident.contains(model.name);
        if (isLoaded && !usage.models.contains(model.name) && usage.freeMb >= memoryCostMb(model, usage))
            return name;
    }
    return std::nullopt;
}

std::string placement_plan::zoneOf(const std::string& upstream) const
{
    const auto found = m_usages.find(upstream);
    return found == m_usages.end() ? std::string() : found->second.upstream.zone;
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
        const auto found = m_usages.find(upstream);
        if (found == m_usages.end() || !found->second.upstream.usable
            || found->second.models.contains(model.name))
            continue;
        if (found->second.freeMb < memoryCostMb(model, found->second))
            continue;
        if (!best || found->second.freeMb > m_usages.at(*best).freeMb)
            best = upstream;
    }
    return best;
}

std::optional<std::string> placement_plan::findByFreeMemory(const plan_model& model) const
{
    std::set<std::string> zones;
    for (const auto& [upstream, pinned] : copiesOf(model.name)) {
        const auto found = m_usages.find(upstream);
        if (found != m_usages.end() && found->second.upstream.usable)
            zones.insert(found->second.upstream.zone);
    }
    std::optional<std::string> fallback;
    int searched = 0;
    for (auto candidate = m_usableByFreeMb.rbegin();
         candidate != m_usableByFreeMb.rend() && searched < maxCandidates; ++candidate) {
        const upstream_usage& usage = m_usages.at(candidate->second);
        if (usage.models.contains(model.name))
            continue;
        ++searched;
        if (usage.freeMb < memoryCostMb(model, usage))
            continue;
        if (!zones.contains(usage.upstream.zone))
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
    for (auto candidate = m_usableByFreeMb.rbegin(); candidate != m_usableByFreeMb.rend(); ++candidate) {
        const upstream_usage& usage = m_usages.at(candidate->second);
        room_by_removal found { candidate->second, {} };
        std::int64_t freeMb = usage.freeMb;
        for (const std::string& other : usage.models) {
            if (freeMb >= memoryCostMb(model, usage))
                break;
            const auto known = m_models.find(other);
            if (other == model.base || known == m_models.end() || !isSpare(other, candidate->second))
                continue;
            // Removing a base model frees no memory while adapters of it remain, so it is kept.
            if (known->second.base.empty() && hasAdapterOf(other, usage))
                continue;
            freeMb += static_cast<std::int64_t>(known->second.memoryMb);
            found.steps.push_back({ plan_action::Remove, other, candidate->second, "room" });
        }
        if (freeMb >= memoryCostMb(model, usage))
            return found;
    }
    return std::nullopt;
}

} // namespace sagesaddle
