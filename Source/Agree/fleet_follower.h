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
/// Reads the `config` stream on a thread of its own and folds it. While the log is away it asks the
/// other entries for the tail; \see docs/design/freshness.md for when the state may be acted upon.
class fleet_follower {
public:
    struct options {
        address log;
        std::string stream { configStream };
        /// Name of this entry in the records.
        std::string self;
        /// Number of this process among those of the name, for the epochs; 0 where it has none.
        std::uint64_t run { 0 };
        /// How old the evidence may be.
        milliseconds maxStateAge { 2000 };
        /// Peers to ask while there is no state that lists the entries; given to `send` as they are.
        std::vector<std::string> seedPeers;
        /// Whether this process appends snapshots and epochs; false for a mere reader.
        bool writes { true };
        /// How long a member of the epoch must be missed before it is left out.
        milliseconds missedFor { 10000 };
    };

    /// Sends a message to another entry; false where it could not be sent.
    using send_to_peer = std::function<bool(const std::string& entry, const message& value)>;

    /// \param onChange called on the follower's thread with each newer state
    fleet_follower(options settings, send_to_peer send, std::function<void(fleet_state_ptr)> onChange);
    ~fleet_follower();

    fleet_follower(const fleet_follower&) = delete;
    fleet_follower& operator=(const fleet_follower&) = delete;

    /// \return the newest state, or null before there is one that can be trusted.
    fleet_state_ptr state() const;

    freshness freshnessAt(monotonic_time now) const;

    /// \return what a peer that asks for the tail is told.
    tail_answer answerTail(const tail_ask& ask) const;

    /// Takes in a peer's answer.
    void onTailAnswer(const std::string& entry, const tail_answer& answer);

    /// Leaves the epoch's members at once, for a graceful shutdown; answers peers no longer.
    void leave();

    /// Leaves the epoch's members to come back with the next epoch, for a process that took over the name
    /// of an earlier one: it cannot know what that one granted. Does nothing where the epoch does not list
    /// this entry or the log is away; to be called until the epoch has changed.
    void rejoin();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
