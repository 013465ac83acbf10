#include "Agree/peer_rotation.h"

#include <algorithm>

namespace sagesaddle {

namespace {

constexpr milliseconds logReachableInterval { 1000 };
constexpr milliseconds logUnreachableInterval { 250 };

} // namespace

milliseconds peer_rotation::interval(std::size_t peers, bool isLogUnreachable)
{
    const milliseconds bounded { static_cast<std::int64_t>(peers * 1000 / maxRequestsPerSecond) };
    return std::max(isLogUnreachable ? logUnreachableInterval : logReachableInterval, bounded);
}

std::vector<std::string> peer_rotation::takeDue(
    monotonic_time now, const std::vector<std::string>& peers, bool isLogUnreachable)
{
    const double elapsed = secondsBetween(m_lastRound, now);
    m_availableRequests
        = std::min<double>(maxRequestsPerSecond, m_availableRequests + elapsed * maxRequestsPerSecond);
    m_lastRound = now;
    std::erase_if(m_lastRequestAt,
        [&](const auto& item) { return std::ranges::find(peers, item.first) == peers.end(); });

    // Peers whose interval is over, the one that has waited longest first.
    std::vector<std::pair<monotonic_time, std::string>> waiting;
    for (const std::string& peer : peers) {
        const auto lastRequest = m_lastRequestAt.find(peer);
        if (lastRequest == m_lastRequestAt.end())
            waiting.emplace_back(monotonic_time::min(), peer);
        else if (now - lastRequest->second >= interval(peers.size(), isLogUnreachable))
            waiting.emplace_back(lastRequest->second, peer);
    }
    std::sort(waiting.begin(), waiting.end());

    std::vector<std::string> result;
    for (const auto& [sentAt, peer] : waiting) {
        if (m_availableRequests < 1)
            break;
        m_availableRequests -= 1;
        m_lastRequestAt[peer] = now;
        result.push_back(peer);
    }
    return result;
}

} // namespace sagesaddle
