#include "Place/order_planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace sagesaddle {

namespace {

// For this time after the last request a model is still loaded, in case more requests follow.
constexpr milliseconds demandRetention { 10000 };
// A model that is placed here but not requested replaces only models that were idle for this time.
constexpr milliseconds minIdleForPlacement { 10000 };

// A model that should be loaded, and why.
struct wanted_model {
    std::string model;
    bool isPinned { false };
    bool isRequested { false };
};

class order_planning {
public:
    order_planning(
        const side_view& view, const memory_ledger& ledger, const demand_table& demand, monotonic_time now)
        : m_view(view)
        , m_ledger(ledger)
        , m_demand(demand)
        , m_now(now)
        , m_freeMb(ledger.freeMb())
    {
        for (const placement& place : view.placements) {
            m_placements.insert(place.model);
            if (place.pinned)
                addPin(place.model);
        }
    }

    std::vector<planned_order> run()
    {
        for (const wanted_model& next : wantedModels()) {
            if (!planModel(next))
                break;
        }
        return std::move(m_orders);
    }

    // Whether the model and its base occupy memory, or fit beside models that are pinned, in use or waited
    // for.
    bool canMakeRoomFor(const std::string& name) const
    {
        const std::string base = baseOf(name);
        std::uint64_t needed = missingMb(name) + (base.empty() ? 0 : missingMb(base));
        if (needed == 0)
            return true;
        if (!m_pinned.contains(name))
            needed += m_missingPinsMb;
        for (const auto& [other, use] : m_demand) {
            if (use.active > 0 && other != name && other != base && !m_pinned.contains(other))
                needed += missingMb(other);
        }
        std::uint64_t available = m_freeMb + m_ledger.unloadingMb();
        for (const std::string& evicted : evictable({ name, m_pinned.contains(name), true })) {
            if (evicted != base)
                available += m_ledger.models().at(evicted).memoryMb;
        }
        return needed <= available;
    }

    // Whether pinned models that are not loaded need the memory of this model in use. Models in use are taken
    // in the order of their last request, and no more of them than needed.
    bool mustDrainForPin(const std::string& name) const
    {
        if (m_missingPinsMb == 0)
            return false;
        std::uint64_t freedMb = m_freeMb + m_ledger.unloadingMb();
        for (const std::string& idle : evictable({ {}, true, false }))
            freedMb += m_ledger.models().at(idle).memoryMb;
        for (const std::string& used : usedByLastRequest()) {
            if (freedMb >= m_missingPinsMb)
                return false;
            if (used == name)
                return true;
            freedMb += m_ledger.models().at(used).memoryMb;
        }
        return false;
    }

private:
    // Loaded models in use that are not pinned, the least recently requested first.
    std::vector<std::string> usedByLastRequest() const
    {
        std::vector<std::string> names;
        for (const auto& [name, resident] : m_ledger.models()) {
            const auto use = m_demand.find(name);
            const bool isUsed = use != m_demand.end() && use->second.active > 0;
            if (isUsed && !m_pinned.contains(name) && m_ledger.isUsable(name))
                names.push_back(name);
        }
        std::stable_sort(names.begin(), names.end(),
            [this](const auto& a, const auto& b) { return lastRequestedAt(a) < lastRequestedAt(b); });
        return names;
    }

    // Memory that loading the model would take; 0 if it occupies memory already.
    std::uint64_t missingMb(const std::string& name) const
    {
        return m_ledger.occupiesMemory(name) ? 0 : sizeOf(name);
    }

    std::uint64_t sizeOf(const std::string& name) const
    {
        const auto found = m_view.models.find(name);
        return found == m_view.models.end() ? 0 : found->second.memoryMb;
    }

    std::string baseOf(const std::string& name) const
    {
        const auto found = m_view.models.find(name);
        return found == m_view.models.end() ? std::string() : found->second.base;
    }

    // The base of a pinned adapter counts as pinned.
    void addPin(const std::string& name)
    {
        if (!m_pinned.insert(name).second || !m_view.models.contains(name))
            return;
        if (!m_ledger.occupiesMemory(name))
            m_missingPinsMb += sizeOf(name);
        if (const std::string base = baseOf(name); !base.empty())
            addPin(base);
    }

    bool isRequested(const std::string& name) const
    {
        const auto found = m_demand.find(name);
        return found != m_demand.end()
            && (found->second.active > 0 || m_now - found->second.lastRequestedAt < demandRetention);
    }

    monotonic_time lastRequestedAt(const std::string& name) const
    {
        const auto found = m_demand.find(name);
        return found == m_demand.end() ? monotonic_time {} : found->second.lastRequestedAt;
    }

    std::vector<wanted_model> wantedModels() const
    {
        std::vector<wanted_model> result;
        for (const std::string& name : m_pinned)
            addWanted(result, { name, true, false });
        std::vector<std::string> requested;
        for (const auto& [name, use] : m_demand) {
            if (isRequested(name))
                requested.push_back(name);
        }
        std::stable_sort(requested.begin(), requested.end(),
            [this](const auto& a, const auto& b) { return lastRequestedAt(a) < lastRequestedAt(b); });
        for (const std::string& name : requested)
            addWanted(result, { name, false, true });
        for (const std::string& name : m_placements)
            addWanted(result, { name, false, false });
        return result;
    }

    // An adapter can be loaded only after its base, so the base is added until that is usable.
    void addWanted(std::vector<wanted_model>& result, const wanted_model& next) const
    {
        const std::string base = baseOf(next.model);
        if (!base.empty() && !m_ledger.isUsable(base))
            result.push_back({ base, next.isPinned, next.isRequested });
        else if (m_view.models.contains(next.model))
            result.push_back(next);
    }

    // Plans to load the model, or to free memory for it. Returns false if it must wait for that memory; then
    // nothing of lower priority is planned, which could take the memory.
    bool planModel(const wanted_model& next)
    {
        if (m_ledger.occupiesMemory(next.model) || m_plannedLoads.contains(next.model))
            return true;
        const std::uint64_t size = sizeOf(next.model);
        const std::uint64_t reserved = m_pinned.contains(next.model) ? 0 : m_missingPinsMb;
        const std::uint64_t budget = m_freeMb > reserved ? m_freeMb - reserved : 0;
        if (size <= budget) {
            load(next.model, size);
            return true;
        }
        if (m_ledger.unloadingMb() >= size - budget)
            return false;
        return !evictFor(next, size - budget);
    }

    void load(const std::string& name, std::uint64_t size)
    {
        m_orders.push_back({ order_action::Load, name, size });
        m_plannedLoads.insert(name);
        m_freeMb -= size;
        if (m_pinned.contains(name))
            m_missingPinsMb -= size;
    }

    // Plans to unload idle models, the least recently requested first, if that frees enough memory. Returns
    // whether it does.
    bool evictFor(const wanted_model& next, std::uint64_t neededMb)
    {
        std::uint64_t freedMb = m_ledger.unloadingMb();
        std::vector<planned_order> unloads;
        for (const std::string& name : evictable(next)) {
            if (freedMb >= neededMb)
                break;
            const std::uint64_t size = m_ledger.models().at(name).memoryMb;
            unloads.push_back({ order_action::Unload, name, size });
            freedMb += size;
        }
        if (freedMb < neededMb)
            return false;
        m_orders.insert(m_orders.end(), unloads.begin(), unloads.end());
        return true;
    }

    std::vector<std::string> evictable(const wanted_model& next) const
    {
        std::vector<std::string> names;
        for (const auto& [name, resident] : m_ledger.models()) {
            if (mayEvictFor(name, next))
                names.push_back(name);
        }
        std::stable_sort(names.begin(), names.end(), [this](const auto& a, const auto& b) {
            return std::pair(m_placements.contains(a), lastRequestedAt(a))
                < std::pair(m_placements.contains(b), lastRequestedAt(b));
        });
        return names;
    }

    bool mayEvictFor(const std::string& name, const wanted_model& next) const
    {
        if (m_pinned.contains(name) || !m_ledger.isUsable(name) || m_ledger.hasOrderFor(name))
            return false;
        const auto use = m_demand.find(name);
        if ((use != m_demand.end() && use->second.active > 0) || isBaseInUse(name))
            return false;
        if (next.isPinned || next.isRequested)
            return true;
        return !m_placements.contains(name) && m_now - lastRequestedAt(name) >= minIdleForPlacement;
    }

    // Whether an adapter of the model occupies memory or is requested.
    bool isBaseInUse(const std::string& name) const
    {
        return std::any_of(m_view.models.begin(), m_view.models.end(), [&](const auto& item) {
            return item.second.base == name
                && (m_ledger.occupiesMemory(item.first) || isRequested(item.first));
        });
    }

    const side_view& m_view;
    const memory_ledger& m_ledger;
    const demand_table& m_demand;
    monotonic_time m_now;
    std::uint64_t m_freeMb;
    std::uint64_t m_missingPinsMb { 0 };
    std::set<std::string> m_pinned;
    std::set<std::string> m_placements;
    std::set<std::string> m_plannedLoads;
    std::vector<planned_order> m_orders;
};

} // namespace

bool fitsBesidePins(const side_view& view, const std::string& model, std::uint64_t totalMb)
{
    std::set<std::string> names;
    const auto addWithBase = [&](const std::string& name) {
        names.insert(name);
        const auto found = view.models.find(name);
        if (found != view.models.end() && !found->second.base.empty())
            names.insert(found->second.base);
    };
    for (const placement& place : view.placements) {
        if (place.pinned)
            addWithBase(place.model);
    }
    addWithBase(model);
    std::uint64_t sum = 0;
    for (const std::string& name : names) {
        const auto found = view.models.find(name);
        sum += found == view.models.end() ? 0 : found->second.memoryMb;
    }
    return sum <= totalMb;
}

bool canMakeRoomFor(const side_view& view, const memory_ledger& ledger, const demand_table& demand,
    const std::string& model, monotonic_time now)
{
    return order_planning(view, ledger, demand, now).canMakeRoomFor(model);
}

bool mustDrainForPin(const side_view& view, const memory_ledger& ledger, const demand_table& demand,
    const std::string& model, monotonic_time now)
{
    return order_planning(view, ledger, demand, now).mustDrainForPin(model);
}

std::vector<planned_order> planOrders(
    const side_view& view, const memory_ledger& ledger, const demand_table& demand, monotonic_time now)
{
    return order_planning(view, ledger, demand, now).run();
}

} // namespace sagesaddle
