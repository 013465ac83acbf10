#include "Agree/freshness_tracker.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace sagesaddle {

freshness_tracker::freshness_tracker(std::string self, milliseconds maxStateAge)
    : m_self(std::move(self))
    , m_maxStateAge(maxStateAge)
{
}

void freshness_tracker::onLogRead(monotonic_time sentAt)
{
    m_lastReadFailed = false;
    m_lastRead = m_lastRead ? std::max(*m_lastRead, sentAt) : sentAt;
}

void freshness_tracker::onLogFailure()
{
    m_lastReadFailed = true;
}

void freshness_tracker::onPeerAnswer(
    const std::string& entry, monotonic_time sentAt, const peer_log_status& status)
{
    const peer_answer answer { sentAt, sentAt - status.lastReadAge, status.nextOffset,
        status.isLogUnreachable };
    const auto [place, added] = m_peers.emplace(entry, answer);
    if (!added && place->second.sentAt < sentAt)
        place->second = answer;
}

bool freshness_tracker::isLogUnreachable(monotonic_time now) const
{
    return m_lastReadFailed || (m_lastRead && !isRecent(*m_lastRead, now));
}

std::optional<monotonic_time> freshness_tracker::lastAnswerTime(const std::string& entry) const
{
    const auto found = m_peers.find(entry);
    return found == m_peers.end() ? std::nullopt : std::optional(found->second.sentAt);
}

// Returns when the newest read of the log was sent that saw no record which this process lacks.
std::optional<monotonic_time> freshness_tracker::newestReadTime(std::uint64_t ownNextOffset) const
{
    std::optional<monotonic_time> newest = m_lastRead;
    for (const auto& [name, peer] : m_peers)
        if (peer.nextOffset <= ownNextOffset && (!newest || *newest < peer.readAt))
            newest = peer.readAt;
    return newest;
}

// Returns the time at which a majority of the listed entries could not reach the log, which therefore accepts
// nothing new; nothing where there is no such majority or a peer has more records.
std::optional<monotonic_time> freshness_tracker::majorityConfirmationTime(
    monotonic_time now, std::uint64_t ownNextOffset, const std::map<std::string, entry_config>& entries) const
{
    std::vector<monotonic_time> reportTimes;
    if (m_lastReadFailed && entries.contains(m_self))
        reportTimes.push_back(now);
    for (const auto& [name, peer] : m_peers) {
        if (!isRecent(peer.sentAt, now) || name == m_self || !entries.contains(name))
            continue;
        if (peer.nextOffset > ownNextOffset)
            return std::nullopt;
        if (peer.isLogUnreachable)
            reportTimes.push_back(peer.sentAt);
    }
    const std::size_t majority = entries.size() / 2 + 1;
    if (reportTimes.size() < majority)
        return std::nullopt;
    std::sort(reportTimes.begin(), reportTimes.end(), std::greater<>());
    return reportTimes[majority - 1];
}

freshness freshness_tracker::evaluate(
    monotonic_time now, std::uint64_t ownNextOffset, const std::map<std::string, entry_config>& entries) const
{
    std::optional<monotonic_time> confirmedAt = newestReadTime(ownNextOffset);
    if (!confirmedAt || !isRecent(*confirmedAt, now)) {
        const auto byMajority = majorityConfirmationTime(now, ownNextOffset, entries);
        if (byMajority)
            confirmedAt = byMajority;
    }
    freshness result;
    result.isLogUnreachable = isLogUnreachable(now);
    result.isFresh = confirmedAt && isRecent(*confirmedAt, now);
    result.age
        = confirmedAt ? std::chrono::duration_cast<milliseconds>(now - *confirmedAt) : milliseconds::max();
    return result;
}

} // namespace sagesaddle
