#include "Fleet/loaded_models_history.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Dropped holdings that are remembered; each gateway hears of the changes of a second, in which an engine
// drops a few adapters.
constexpr std::size_t mostDropped = 16;

} // namespace

void loaded_models_history::setLoaded(const std::set<std::string>& held, std::uint64_t stamp)
{
    if (m_changed == 0)
        m_completeFrom = stamp;
    m_changed = stamp;
    std::vector<mark> marks;
    marks.reserve(m_marks.size() + 1);
    auto old = m_marks.begin();
    const auto keepUpTo = [&](const std::string* name) {
        for (; old != m_marks.end() && (name == nullptr || old->name < *name); ++old) {
            if (old->isHeld) {
                old->isHeld = false;
                old->stamp = stamp;
            }
            marks.push_back(std::move(*old));
        }
    };
    for (const auto& name : held) {
        keepUpTo(&name);
        if (old != m_marks.end() && old->name == name) {
            marks.push_back({ name, old->isHeld ? old->stamp : stamp, true });
            ++old;
        } else {
            marks.push_back({ name, stamp, true });
        }
    }
    keepUpTo(nullptr);
    m_marks = std::move(marks);
    forgetDropped();
}

void loaded_models_history::forgetDropped()
{
    const auto isDropped = [](const mark& item) { return !item.isHeld; };
    while (
        std::count_if(m_marks.begin(), m_marks.end(), isDropped) > static_cast<std::ptrdiff_t>(mostDropped)) {
        const auto oldest
            = std::min_element(m_marks.begin(), m_marks.end(), [](const mark& a, const mark& b) {
                  return std::pair(a.isHeld, a.stamp) < std::pair(b.isHeld, b.stamp);
              });
        m_completeFrom = std::max(m_completeFrom, oldest->stamp);
        m_marks.erase(oldest);
    }
}

loaded_models_update loaded_models_history::updateSince(std::uint64_t told) const
{
    loaded_models_update value { {}, {}, told >= m_completeFrom && m_changed != 0 };
    for (const auto& item : m_marks) {
        if (item.isHeld && (!value.isDelta || item.stamp > told))
            value.loaded.push_back(item.name);
        else if (value.isDelta && !item.isHeld && item.stamp > told)
            value.unloaded.push_back(item.name);
    }
    return value;
}

} // namespace sagesaddle
