#include "Entry/overload_monitor.h"

namespace sagesaddle {

overload_monitor::overload_monitor(milliseconds quiet)
    : m_quiet(quiet)
{
}

void overload_monitor::onRefused(const std::string& team, const std::string& cause, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto [found, added] = m_parts.try_emplace({ team, cause });
    team_overload& part = found->second;
    if (added)
        part = { team, cause, 0, now, now };
    ++part.refusals;
    part.last = now;
    if (added)
        m_began.push_back(part);
}

overload_change overload_monitor::takeChanges(monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    overload_change change;
    change.began.swap(m_began);
    for (auto it = m_parts.begin(); it != m_parts.end();) {
        if (now - it->second.last < m_quiet) {
            ++it;
            continue;
        }
        change.ended.push_back(it->second);
        it = m_parts.erase(it);
    }
    return change;
}

std::vector<team_overload> overload_monitor::active() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<team_overload> parts;
    for (const auto& [key, part] : m_parts)
        parts.push_back(part);
    return parts;
}

} // namespace sagesaddle
