#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Finds connected peers that no longer answer, and names the ones to probe.
///
/// A peer whose host hangs keeps its connection, so a broken connection is not enough to detect it. A peer
/// that owes an answer is probed soon; an idle one is probed rarely, to keep the cost of idle peers low.
///
/// Performs no I/O and reads no clock; not thread-safe.
class liveness_monitor {
public:
    struct options {
        /// Time without an answer after which a peer that owes one is probed.
        milliseconds busyProbeAfter { 300 };
        /// Time since the last message after which an idle peer is probed.
        milliseconds idleProbeAfter { 2000 };
        /// Time that a peer has to answer a probe; then it counts as silent.
        milliseconds probeTimeout { 1000 };
        /// Idle peers that one check may probe.
        std::size_t maxIdleProbes { 1 };
    };

    /// \brief What the caller must do after a check.
    struct check_result {
        /// Peers to send a probe to.
        std::vector<std::string> toProbe;
        /// Peers that have become silent since the previous check.
        std::vector<std::string> newlySilent;
    };

    explicit liveness_monitor(options settings)
        : m_settings(settings)
    {
    }

    /// \brief The connection to the peer was established or lost; only connected peers are monitored.
    void onLink(const std::string& peer, bool up, monotonic_time now);

    /// \brief A message that the peer must answer was sent.
    void onSent(const std::string& peer, monotonic_time now);

    /// \brief A message was received from the peer. It counts as the answer to everything sent before it.
    /// \return whether the peer was silent until now
    bool onReceived(const std::string& peer, monotonic_time now);

    /// \brief Checks all peers. Those returned in `toProbe` count as probed now.
    /// \param withOpenRequests peers whose answers have not ended; one that falls silent amid an answer is
    /// probed as soon as one that owes an answer
    check_result check(monotonic_time now, const std::set<std::string>& withOpenRequests = {});

private:
    struct peer_state {
        monotonic_time lastReceived;
        /// When the first message was sent that the peer has not answered.
        monotonic_time owesSince;
        monotonic_time lastProbe;
        bool silent { false };

        bool hasOpenProbe() const { return lastProbe > lastReceived; }
        bool owesAnswer() const { return owesSince > lastReceived; }
    };

    options m_settings;
    std::map<std::string, peer_state> m_peers;
};

} // namespace sagesaddle
