#pragma once

#include "Agree/freshness.h"
#include "Base/clock.h"
#include "Record/fleet_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief What another entry said of itself and the log.
struct peer_evidence {
    /// Offset below which it holds every record.
    std::uint64_t nextOffset { 0 };
    /// Time since it last read the log itself up to its end, when it answered.
    milliseconds age { 0 };
    /// Whether the log is away as seen from there.
    bool logAway { false };

    auto operator<=>(const peer_evidence&) const = default;
};

/// \brief Decides whether a process may act upon its copy of the fleet's state.
///
/// It may while it has evidence of bounded age that it holds all that was accepted: its own read of the
/// log up to its end, such a read of a peer whose records it holds too, or, failing both, that the log is
/// away from a majority of the listed entries, none of which holds more. \see docs/design/freshness.md
class freshness_judge {
public:
    /// \param self name of this entry
    /// \param freshFor how old the evidence may be
    freshness_judge(std::string self, milliseconds freshFor);

    /// The log was read up to its end.
    /// \param askedAt when the read was sent: what was accepted later may be missing
    void onLogRead(monotonic_time askedAt);

    /// The log did not answer.
    void onLogFailure();

    /// A peer answered.
    /// \param askedAt when it was asked: its answer is at least as young
    void onPeer(const std::string& entry, monotonic_time askedAt, const peer_evidence& evidence);

    /// \param heldOffset offset below which this process holds every record
    /// \param entries the listed entries
    freshness judge(monotonic_time now, std::uint64_t heldOffset,
        const std::map<std::string, entry_config>& entries) const;

    /// \return whether the log is away as seen from here.
    bool isLogAway(monotonic_time now) const;

    /// \return when the last read of the log up to its end was sent.
    std::optional<monotonic_time> lastRead() const { return m_lastRead; }

    /// \return when the newest answer of a peer was asked for; nothing where it never answered.
    std::optional<monotonic_time> lastHeard(const std::string& entry) const;

private:
    struct heard_peer {
        monotonic_time askedAt;
        /// When it last read the log up to its end, or earlier.
        monotonic_time readAt;
        std::uint64_t nextOffset { 0 };
        bool logAway { false };
    };

    std::optional<monotonic_time> newestRead(std::uint64_t heldOffset) const;
    std::optional<monotonic_time> majorityAway(monotonic_time now, std::uint64_t heldOffset,
        const std::map<std::string, entry_config>& entries) const;
    bool isRecent(monotonic_time at, monotonic_time now) const { return now - at <= m_freshFor; }

    std::string m_self;
    milliseconds m_freshFor;
    std::optional<monotonic_time> m_lastRead;
    bool m_failed { false };
    std::map<std::string, heard_peer> m_peers;
};

} // namespace sagesaddle
