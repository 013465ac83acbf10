#include "Fleet/loaded_models_history.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Bounds the unloaded models and adapters that are remembered. Gateways get an update about once a second, in
// which an engine unloads a few adapters.
constexpr std::size_t maxUnloadedEntries = 16;

} // namespace

void loaded_models_history::setLoaded(const std::set<std::string>& loaded, std::uint64_t stamp)
{
    if (m_newestStamp == 0)
        m_deltaFrom = stamp;
    m_newestStamp = stamp;
    std::vector<history_entry> entries;
    entries.reserve(m_entries.size() + 1);
    auto previous = m_entries.begin();
    const auto markUnloadedBefore = [&](const std::string* name) {
        for (; previous != m_entries.end() && (name == nullptr || previous->name < *name); ++previous) {
            if (previous->isLoaded) {
                previous->isLoaded = false;
                previous->stamp = stamp;
            }
            entries.push_back(std::move(*previous));
        }
    };
    for (const auto& name : loaded) {
        markUnloadedBefore(&name);
        if (previous != m_entries.end() && previous->name == name) {
            entries.push_back({ name, previous->isLoaded ? previous->stamp : stamp, true });
            ++previous;
        } else {
            entries.push_back({ name, stamp, true });
        }
    }
    markUnloadedBefore(nullptr);
    m_entries = std::move(entries);
    evictUnloaded();
}

void loaded_models_history::evictUnloaded()
{
    const auto isUnloaded = [](const history_entry& entry) { return !entry.isLoaded; };
    while (std::count_if(m_entries.begin(), m_entries.end(), isUnloaded)
        > static_cast<std::ptrdiff_t>(maxUnloadedEntries)) {
        const auto oldest = std::min_element(
            m_entries.begin(), m_entries.end(), [](const history_entry& a, const history_entry& b) {
                return std::pair(a.isLoaded, a.stamp) < std::pair(b.isLoaded, b.stamp);
            });
        m_deltaFrom = std::max(m_deltaFrom, oldest->stamp);
        m_entries.erase(oldest);
    }
}

loaded_models_update loaded_models_history::updateSince(std::uint64_t sentStamp) const
{
    loaded_models_update update { {}, {}, sentStamp >= m_deltaFrom && m_newestStamp != 0 };
    for (const auto& entry : m_entries) {
        if (entry.isLoaded && (!update.isDelta || entry.stamp > sentStamp))
            update.loaded.push_back(entry.name);
        else if (update.isDelta && !entry.isLoaded && entry.stamp > sentStamp)
            update.unloaded.push_back(entry.name);
    }
    return update;
}

} // namespace sagesaddle
