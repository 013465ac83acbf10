#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Tells which peers have fallen silent, and which to ask for a sign of life; pure.
///
/// A peer whose host hangs keeps its connection. One that was sent something and says nothing is asked
/// soon; one that owes nothing is asked rarely, so that idle peers cost little.
class liveness_monitor {
public:
    struct options {
        /// Silence after which a peer that was sent something is asked.
        milliseconds busyProbeAfter { 300 };
        /// Silence after which any other is asked.
        milliseconds idleProbeAfter { 2000 };
        /// How long a peer may leave a question open before it counts as silent.
        milliseconds probeTimeout { 1000 };
        /// Peers that owe nothing and are asked at a time.
        std::size_t maxIdleProbes { 1 };
    };

    /// \brief What to do now.
    struct check_result {
        std::vector<std::string> toProbe;
        /// Peers that have fallen silent since the last look.
        std::vector<std::string> newlySilent;
    };

    explicit liveness_monitor(options settings)
        : m_settings(settings)
    {
    }

    /// The connection to the peer stands, or is gone.
    void onLink(const std::string& peer, bool up, monotonic_time now);

    /// Something that the peer should answer was sent.
    void onSent(const std::string& peer, monotonic_time now);

    /// \return whether the peer was silent until now.
    bool onReceived(const std::string& peer, monotonic_time now);

    /// Those returned in `toProbe` count as asked now.
    check_result check(monotonic_time now);

private:
    struct peer_state {
        monotonic_time heard;
        /// When the first of what it has not answered since was sent.
        monotonic_time owesSince;
        monotonic_time asked;
        bool silent { false };

        bool isAsked() const { return asked > heard; }
        bool owes() const { return owesSince > heard; }
    };

    options m_settings;
    std::map<std::string, peer_state> m_peers;
};

} // namespace sagesaddle
