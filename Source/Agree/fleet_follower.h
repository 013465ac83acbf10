#pragma once

#include "Agree/freshness.h"
#include "Base/address.h"
#include "Base/clock.h"
#include "Record/fleet_state.h"
#include "Record/log_record.h"
#include "Wire/messages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Keeps a process's copy of the fleet's state up to date, from the log or from peers.
///
/// Reads the `config` stream on a thread of its own and folds its records into the state. Also asks the other
/// entries for the newest records (the tail of the stream), which keeps the state up to date while the log is
/// unreachable. \see docs/design/freshness.md for when the state may be acted upon. Thread-safe.
class fleet_follower {
public:
    struct options {
        address log;
        std::string stream { configStream };
        /// Name of this entry in the records.
        std::string self;
        /// Number that tells this process from others under the same name, for the epochs; 0 where it has
        /// none.
        std::uint64_t run { 0 };
        /// Age of the newest confirmation up to which the state counts as fresh.
        milliseconds maxStateAge { 2000 };
        /// Peers to ask before there is a state that lists the entries; passed to `send` unchanged.
        std::vector<std::string> seedPeers;
        /// Whether this process appends snapshots and epochs; false for a process that only reads.
        bool isWriter { true };
        /// Time without an answer after which a member is left out of the next epoch.
        milliseconds memberExpiry { 10000 };
    };

    /// Sends a message to another entry; returns false where it could not be sent.
    using send_to_peer = std::function<bool(const std::string& entry, const message& value)>;

    /// Starts the follower's threads.
    /// \param onChange called on one of the follower's threads with each newer state
    fleet_follower(options settings, send_to_peer send, std::function<void(fleet_state_ptr)> onChange);
    ~fleet_follower();

    fleet_follower(const fleet_follower&) = delete;
    fleet_follower& operator=(const fleet_follower&) = delete;

    /// \return the newest state, or null until the log was read up to its end or a peer's records were
    ///         folded.
    fleet_state_ptr state() const;

    /// \return whether the state may be acted upon at `now`, and its age.
    freshness freshnessAt(monotonic_time now) const;

    /// \return the answer to a peer's request for the tail: the records from the requested offset on, or a
    ///         snapshot where these are no longer kept.
    tail_answer answerTail(const tail_request& request) const;

    /// Handles a peer's answer to a request for the tail.
    void onTailAnswer(const std::string& entry, const tail_answer& answer);

    /// Appends an epoch without this entry and stops answering peers, for a graceful shutdown.
    void leave();

    /// Appends an epoch without this entry, which comes back with the next one. For a process that took over
    /// the name of an earlier one, since it cannot know what that one granted. Does nothing where the epoch
    /// does not list this entry or the log is unreachable; call it until the epoch has changed.
    void rejoin();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
