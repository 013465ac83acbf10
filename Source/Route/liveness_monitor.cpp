#include "Route/liveness_monitor.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

void liveness_monitor::onLink(const std::string& peer, bool up, monotonic_time now)
{
    if (up)
        m_peers[peer] = { .lastReceived = now, .owesSince = {}, .lastProbe = {}, .silent = false };
    else
        m_peers.erase(peer);
}

void liveness_monitor::onSent(const std::string& peer, monotonic_time now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end() && !found->second.owesAnswer())
        found->second.owesSince = now;
}

bool liveness_monitor::onReceived(const std::string& peer, monotonic_time now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return false;
    found->second.lastReceived = now;
    return std::exchange(found->second.silent, false);
}

liveness_monitor::check_result liveness_monitor::check(
    monotonic_time now, const std::set<std::string>& withOpenRequests)
{
    check_result result;
    std::vector<std::pair<monotonic_time, std::string>> idle;
    for (auto& [name, peer] : m_peers) {
        if (peer.hasOpenProbe()) {
            if (now - peer.lastProbe >= m_settings.probeTimeout && !std::exchange(peer.silent, true))
                result.newlySilent.push_back(name);
        } else if ((peer.owesAnswer() && now - peer.owesSince >= m_settings.busyProbeAfter)
            || (withOpenRequests.contains(name) && now - peer.lastReceived >= m_settings.busyProbeAfter)) {
            result.toProbe.push_back(name);
        } else if (now - peer.lastReceived >= m_settings.idleProbeAfter) {
            idle.emplace_back(peer.lastReceived, name);
        }
    }
    std::sort(idle.begin(), idle.end());
    for (std::size_t at = 0; at < std::min(idle.size(), m_settings.maxIdleProbes); ++at)
        result.toProbe.push_back(idle[at].second);
    for (const std::string& name : result.toProbe)
        m_peers[name].lastProbe = now;
    return result;
}

} // namespace sagesaddle
