#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Picks the peers to send tail requests to, each in turn, within a bound on requests a second.
class peer_rotation {
public:
    /// Keeps an entry's control traffic under 4 KB/s, including the answers and the peers' own requests.
    static constexpr std::size_t maxRequestsPerSecond = 4;

    /// \param peers number of peers in turn
    /// \return the time from one request to a peer to the next one.
    static milliseconds interval(std::size_t peers, bool isLogUnreachable);

    /// \param peers names of all peers to keep in turn
    /// \return the peers that are due; these count as asked at `now`.
    std::vector<std::string> takeDue(
        monotonic_time now, const std::vector<std::string>& peers, bool isLogUnreachable);

private:
    std::map<std::string, monotonic_time> m_lastRequestAt;
    monotonic_time m_lastRound;
    // Token bucket of maxRequestsPerSecond.
    double m_availableRequests { 0 };
};

} // namespace sagesaddle
