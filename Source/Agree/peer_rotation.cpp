#include "Agree/peer_rotation.h"

#include <algorithm>

namespace sagesaddle {

namespace {

constexpr milliseconds steadyInterval { 1000 };
constexpr milliseconds awayInterval { 250 };

} // namespace

milliseconds peer_rotation::interval(std::size_t peers, bool isLogUnreachable)
{
    const milliseconds bounded { static_cast<std::int64_t>(peers * 1000 / mostAsksPerSecond) };
    return std::max(isLogUnreachable ? awayInterval : steadyInterval, bounded);
}

std::vector<std::string> peer_rotation::due(
    monotonic_time now, const std::vector<std::string>& peers, bool isLogUnreachable)
{
    const double elapsed = secondsBetween(m_lastRound, now);
    m_allowance = std::min<double>(mostAsksPerSecond, m_allowance + elapsed * mostAsksPerSecond);
    m_lastRound = now;
    std::erase_if(
        m_askedAt, [&](const auto& item) { return std::ranges::find(peers, item.first) == peers.end(); });

    std::vector<std::pair<monotonic_time, std::string>> waiting;
    for (const std::string& peer : peers) {
        const auto asked = m_askedAt.find(peer);
        if (asked == m_askedAt.end())
            waiting.emplace_back(monotonic_time::min(), peer);
        else if (now - asked->second >= interval(peers.size(), isLogUnreachable))
            waiting.emplace_back(asked->second, peer);
    }
    std::sort(waiting.begin(), waiting.end());

    std::vector<std::string> result;
    for (const auto& [askedAt, peer] : waiting) {
        if (m_allowance < 1)
            break;
        m_allowance -= 1;
        m_askedAt[peer] = now;
        result.push_back(peer);
    }
    return result;
}

} // namespace sagesaddle
