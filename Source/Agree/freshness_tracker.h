#pragma once

#include "Agree/freshness.h"
#include "Base/clock.h"
#include "Record/fleet_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief What a peer reported of its records and of the log.
struct peer_log_status {
    /// Offset below which the peer has every record.
    std::uint64_t nextOffset { 0 };
    /// Time from the peer's last own read of the log up to its end until its answer.
    milliseconds lastReadAge { 0 };
    /// Whether the peer cannot reach the log.
    bool isLogUnreachable { false };

    auto operator<=>(const peer_log_status&) const = default;
};

/// \brief Decides whether a process may act upon its copy of the fleet's state.
///
/// It may while a recent confirmation shows that no accepted record is missing: its own read of the log up to
/// its end; such a read by a peer whose records it has too; or, without either, the reports of a majority of
/// the listed entries that they cannot reach the log, where no peer has more records.
/// \see docs/design/freshness.md
class freshness_tracker {
public:
    /// \param self name of this entry
    /// \param maxStateAge age of the newest confirmation up to which the state is fresh
    freshness_tracker(std::string self, milliseconds maxStateAge);

    /// The log was read up to its end.
    /// \param sentAt when the read was sent; records accepted later may be missing
    void onLogRead(monotonic_time sentAt);

    /// A read of the log failed.
    void onLogFailure();

    /// A peer answered.
    /// \param sentAt when the request was sent; the answer was made at that time or later
    void onPeerAnswer(const std::string& entry, monotonic_time sentAt, const peer_log_status& status);

    /// \param ownNextOffset offset below which this process has every record
    /// \param entries the listed entries
    /// \return whether the state may be acted upon at `now`, and its age.
    freshness evaluate(monotonic_time now, std::uint64_t ownNextOffset,
        const std::map<std::string, entry_config>& entries) const;

    /// \return whether this process cannot reach the log: its last read failed or is too old.
    bool isLogUnreachable(monotonic_time now) const;

    /// \return when the last read of the log up to its end was sent.
    std::optional<monotonic_time> lastRead() const { return m_lastRead; }

    /// \return when the request was sent that a peer answered last; nothing where it never answered.
    std::optional<monotonic_time> lastAnswerTime(const std::string& entry) const;

private:
    struct peer_answer {
        monotonic_time sentAt;
        /// Lower bound of when the peer last read the log up to its end.
        monotonic_time readAt;
        std::uint64_t nextOffset { 0 };
        bool isLogUnreachable { false };
    };

    std::optional<monotonic_time> newestReadTime(std::uint64_t ownNextOffset) const;
    std::optional<monotonic_time> majorityConfirmationTime(monotonic_time now, std::uint64_t ownNextOffset,
        const std::map<std::string, entry_config>& entries) const;
    bool isRecent(monotonic_time at, monotonic_time now) const { return now - at <= m_maxStateAge; }

    std::string m_self;
    milliseconds m_maxStateAge;
    std::optional<monotonic_time> m_lastRead;
    bool m_lastReadFailed { false };
    std::map<std::string, peer_answer> m_peers;
};

} // namespace sagesaddle
