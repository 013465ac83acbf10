#include "Agree/freshness_judge.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace sagesaddle {

freshness_judge::freshness_judge(std::string self, milliseconds freshFor)
    : m_self(std::move(self))
    , m_freshFor(freshFor)
{
}

void freshness_judge::onLogRead(monotonic_time askedAt)
{
    m_failed = false;
    m_lastRead = m_lastRead ? std::max(*m_lastRead, askedAt) : askedAt;
}

void freshness_judge::onLogFailure()
{
    m_failed = true;
}

void freshness_judge::onPeer(const std::string& entry, monotonic_time askedAt, const peer_evidence& evidence)
{
    const heard_peer heard { askedAt, askedAt - evidence.age, evidence.nextOffset, evidence.logAway };
    const auto [place, added] = m_peers.emplace(entry, heard);
    if (!added && place->second.askedAt < askedAt)
        place->second = heard;
}

bool freshness_judge::isLogAway(monotonic_time now) const
{
    return m_failed || (m_lastRead && !isRecent(*m_lastRead, now));
}

std::optional<monotonic_time> freshness_judge::lastHeard(const std::string& entry) const
{
    const auto found = m_peers.find(entry);
    return found == m_peers.end() ? std::nullopt : std::optional(found->second.askedAt);
}

std::optional<monotonic_time> freshness_judge::newestRead(std::uint64_t heldOffset) const
{
    std::optional<monotonic_time> newest = m_lastRead;
    for (const auto& [name, peer] : m_peers)
        if (peer.nextOffset <= heldOffset && (!newest || *newest < peer.readAt))
            newest = peer.readAt;
    return newest;
}

std::optional<monotonic_time> freshness_judge::majorityAway(
    monotonic_time now, std::uint64_t heldOffset, const std::map<std::string, entry_config>& entries) const
{
    std::vector<monotonic_time> away;
    if (m_failed && entries.contains(m_self))
        away.push_back(now);
    for (const auto& [name, peer] : m_peers) {
        if (!isRecent(peer.askedAt, now) || name == m_self || !entries.contains(name))
            continue;
        if (peer.nextOffset > heldOffset)
            return std::nullopt;
        if (peer.logAway)
            away.push_back(peer.askedAt);
    }
    const std::size_t needed = entries.size() / 2 + 1;
    if (away.size() < needed)
        return std::nullopt;
    std::sort(away.begin(), away.end(), std::greater<>());
    return away[needed - 1];
}

freshness freshness_judge::judge(
    monotonic_time now, std::uint64_t heldOffset, const std::map<std::string, entry_config>& entries) const
{
    std::optional<monotonic_time> evidence = newestRead(heldOffset);
    if (!evidence || !isRecent(*evidence, now)) {
        const auto majority = majorityAway(now, heldOffset, entries);
        if (majority)
            evidence = majority;
    }
    freshness result;
    result.logAway = isLogAway(now);
    result.fresh = evidence && isRecent(*evidence, now);
    result.age = evidence ? std::chrono::duration_cast<milliseconds>(now - *evidence) : milliseconds::max();
    return result;
}

} // namespace sagesaddle
