#include "Place/order_planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace sagesaddle {

namespace {

// A model that nobody uses any more is still loaded for requests that come back soon.
constexpr milliseconds demandMemory { 10000 };
// A placement that nobody asks for takes memory only from models idle as long.
constexpr milliseconds idleBeforePlacement { 10000 };

// A model that should be on the engine, and why.
struct wish {
    std::string model;
    bool isPinned { false };
    bool isAskedFor { false };
};

class planning {
public:
    planning(
        const side_view& view, const memory_ledger& ledger, const demand_table& demand, monotonic_time now)
        : m_view(view)
        , m_ledger(ledger)
        , m_demand(demand)
        , m_now(now)
        , m_freeMb(ledger.freeMb())
    {
        for (const placement& place : view.placements) {
            m_placed.insert(place.model);
            if (place.pinned)
                addPin(place.model);
        }
    }

    std::vector<planned_order> run()
    {
        for (const wish& next : wishes()) {
            if (!fulfil(next))
                break;
        }
        return std::move(m_orders);
    }

    // Whether the model, with its base, is held or can be beside what is pinned, in use or waited for.
    bool canMakeRoomFor(const std::string& name) const
    {
        const std::string base = baseOf(name);
        std::uint64_t needed = missingSize(name) + (base.empty() ? 0 : missingSize(base));
        if (needed == 0)
            return true;
        if (!m_pinned.contains(name))
            needed += m_pinsMissingMb;
        for (const auto& [other, use] : m_demand) {
            if (use.active > 0 && other != name && other != base && !m_pinned.contains(other))
                needed += missingSize(other);
        }
        std::uint64_t available = m_freeMb + m_ledger.unloadingMb();
        for (const std::string& victim : evictable({ name, m_pinned.contains(name), true })) {
            if (victim != base)
                available += m_ledger.models().at(victim).memoryMb;
        }
        return needed <= available;
    }

    // Whether the model is among those in use that pins missing here need the memory of.
    bool mustDrainForPin(const std::string& name) const
    {
        if (m_pinsMissingMb == 0)
            return false;
        std::uint64_t gained = m_freeMb + m_ledger.unloadingMb();
        for (const std::string& idle : evictable({ {}, true, false }))
            gained += m_ledger.models().at(idle).memoryMb;
        for (const std::string& used : usedByAge()) {
            if (gained >= m_pinsMissingMb)
                return false;
            if (used == name)
                return true;
            gained += m_ledger.models().at(used).memoryMb;
        }
        return false;
    }

private:
    // Loaded models in use that are not pinned, those first that were asked for the longest ago.
    std::vector<std::string> usedByAge() const
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

    std::uint64_t missingSize(const std::string& name) const
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

    // The base of a pinned adapter is as good as pinned.
    void addPin(const std::string& name)
    {
        if (!m_pinned.insert(name).second || !m_view.models.contains(name))
            return;
        if (!m_ledger.occupiesMemory(name))
            m_pinsMissingMb += sizeOf(name);
        if (const std::string base = baseOf(name); !base.empty())
            addPin(base);
    }

    bool isAskedFor(const std::string& name) const
    {
        const auto found = m_demand.find(name);
        return found != m_demand.end()
            && (found->second.active > 0 || m_now - found->second.lastRequestedAt < demandMemory);
    }

    monotonic_time lastRequestedAt(const std::string& name) const
    {
        const auto found = m_demand.find(name);
        return found == m_demand.end() ? monotonic_time {} : found->second.lastRequestedAt;
    }

    std::vector<wish> wishes() const
    {
        std::vector<wish> result;
        for (const std::string& name : m_pinned)
            addWish(result, { name, true, false });
        std::vector<std::string> asked;
        for (const auto& [name, use] : m_demand) {
            if (isAskedFor(name))
                asked.push_back(name);
        }
        std::stable_sort(asked.begin(), asked.end(),
            [this](const auto& a, const auto& b) { return lastRequestedAt(a) < lastRequestedAt(b); });
        for (const std::string& name : asked)
            addWish(result, { name, false, true });
        for (const std::string& name : m_placed)
            addWish(result, { name, false, false });
        return result;
    }

    // An adapter needs its base first.
    void addWish(std::vector<wish>& result, const wish& next) const
    {
        const std::string base = baseOf(next.model);
        if (!base.empty() && !m_ledger.isUsable(base))
            result.push_back({ base, next.isPinned, next.isAskedFor });
        else if (m_view.models.contains(next.model))
            result.push_back(next);
    }

    // Returns false where memory must be made free first.
    bool fulfil(const wish& next)
    {
        if (m_ledger.occupiesMemory(next.model) || m_ordered.contains(next.model))
            return true;
        const std::uint64_t size = sizeOf(next.model);
        const std::uint64_t kept = m_pinned.contains(next.model) ? 0 : m_pinsMissingMb;
        const std::uint64_t budget = m_freeMb > kept ? m_freeMb - kept : 0;
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
        m_ordered.insert(name);
        m_freeMb -= size;
        if (m_pinned.contains(name))
            m_pinsMissingMb -= size;
    }

    // Orders the least recently used idle models away, if that makes enough room.
    bool evictFor(const wish& next, std::uint64_t neededMb)
    {
        std::uint64_t gained = m_ledger.unloadingMb();
        std::vector<planned_order> unloads;
        for (const std::string& name : evictable(next)) {
            if (gained >= neededMb)
                break;
            const std::uint64_t size = m_ledger.models().at(name).memoryMb;
            unloads.push_back({ order_action::Unload, name, size });
            gained += size;
        }
        if (gained < neededMb)
            return false;
        m_orders.insert(m_orders.end(), unloads.begin(), unloads.end());
        return true;
    }

    std::vector<std::string> evictable(const wish& next) const
    {
        std::vector<std::string> names;
        for (const auto& [name, resident] : m_ledger.models()) {
            if (mayEvict(name, next))
                names.push_back(name);
        }
        std::stable_sort(names.begin(), names.end(), [this](const auto& a, const auto& b) {
            return std::pair(m_placed.contains(a), lastRequestedAt(a))
                < std::pair(m_placed.contains(b), lastRequestedAt(b));
        });
        return names;
    }

    bool mayEvict(const std::string& name, const wish& next) const
    {
        if (m_pinned.contains(name) || !m_ledger.isUsable(name) || m_ledger.hasOrderFor(name))
            return false;
        const auto use = m_demand.find(name);
        if ((use != m_demand.end() && use->second.active > 0) || isBaseInUse(name))
            return false;
        if (next.isPinned || next.isAskedFor)
            return true;
        return !m_placed.contains(name) && m_now - lastRequestedAt(name) >= idleBeforePlacement;
    }

    bool isBaseInUse(const std::string& name) const
    {
        return std::any_of(m_view.models.begin(), m_view.models.end(), [&](const auto& item) {
            return item.second.base == name
                && (m_ledger.occupiesMemory(item.first) || isAskedFor(item.first));
        });
    }

    const side_view& m_view;
    const memory_ledger& m_ledger;
    const demand_table& m_demand;
    monotonic_time m_now;
    std::uint64_t m_freeMb;
    std::uint64_t m_pinsMissingMb { 0 };
    std::set<std::string> m_pinned;
    std::set<std::string> m_placed;
    std::set<std::string> m_ordered;
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
    return planning(view, ledger, demand, now).canMakeRoomFor(model);
}

bool mustDrainForPin(const side_view& view, const memory_ledger& ledger, const demand_table& demand,
    const std::string& model, monotonic_time now)
{
    return planning(view, ledger, demand, now).mustDrainForPin(model);
}

std::vector<planned_order> planOrders(
    const side_view& view, const memory_ledger& ledger, const demand_table& demand, monotonic_time now)
{
    return planning(view, ledger, demand, now).run();
}

} // namespace sagesaddle
