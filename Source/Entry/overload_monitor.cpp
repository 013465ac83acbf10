#include "Entry/overload_monitor.h"

namespace sagesaddle {

overload_monitor::overload_monitor(milliseconds quiet)
    : m_quiet(quiet)
{
}

void overload_monitor::onRefused(const std::string& team, const std::string& cause, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto [found, added] = m_overloads.try_emplace({ team, cause });
    team_overload& overload = found->second;
    if (added)
        overload = { team, cause, 0, now, now };
    ++overload.refusals;
    overload.lastRefusal = now;
    if (added)
        m_began.push_back(overload);
}

overload_change overload_monitor::takeChanges(monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    overload_change change;
    change.began.swap(m_began);
    for (auto it = m_overloads.begin(); it != m_overloads.end();) {
        if (now - it->second.lastRefusal < m_quiet) {
            ++it;
            continue;
        }
        change.ended.push_back(it->second);
        it = m_overloads.erase(it);
    }
    return change;
}

std::vector<team_overload> overload_monitor::active() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<team_overload> overloads;
    for (const auto& [key, overload] : m_overloads)
        overloads.push_back(overload);
    return overloads;
}

} // namespace sagesaddle
