#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Picks the peers to ask next, each in turn, within a bound on asks a second.
class peer_rotation {
public:
    /// Asks a second that keep an entry's control traffic under 4 KB/s, answers and the peers' own asks
    /// included.
    static constexpr std::size_t mostAsksPerSecond = 4;

    /// \return how long it is from one ask of a peer to the next.
    /// \param peers number of peers in turn
    static milliseconds interval(std::size_t peers, bool isLogUnreachable);

    /// \param peers names of all peers to keep in turn
    /// \return those that are due, and counts them as asked
    std::vector<std::string> due(
        monotonic_time now, const std::vector<std::string>& peers, bool isLogUnreachable);

private:
    std::map<std::string, monotonic_time> m_askedAt;
    monotonic_time m_lastRound;
    double m_allowance { 0 };
};

} // namespace sagesaddle
