#pragma once

#include "Base/clock.h"
#include "Wire/messages.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <variant>

namespace sagesaddle {

/// \brief The connection to the side process broke; outstanding frames will not arrive.
struct connection_lost { };

/// \brief The upstream's side process stopped answering; it may answer again.
struct upstream_silent { };

/// \brief The caller reads its answer so slowly that too many bytes of it are queued; they are dropped.
struct answer_overflow { };

/// \brief The deadline passed before anything was received.
struct wait_expired { };

/// The next event of an answer.
using exchange_event = std::variant<answer_head, answer_data, answer_end, refusal_message, connection_lost,
    upstream_silent, answer_overflow, wait_expired>;

/// \brief One request in flight at one upstream: a queue of the frames of its answer.
///
/// I/O threads push what the side process sent; the worker that serves the caller waits for it. Thread-safe.
class exchange {
public:
    exchange(std::uint64_t id, std::string upstream);

    std::uint64_t id() const { return m_id; }
    const std::string& upstream() const { return m_upstream; }

    /// Queues an event; never waits for the caller.
    void push(exchange_event event);

    /// Waits for the next event.
    /// \return the event, or wait_expired if none arrived by the deadline
    exchange_event wait(monotonic_time deadline);

private:
    const std::uint64_t m_id;
    const std::string m_upstream;
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<exchange_event> m_events;
    std::size_t m_queuedBytes { 0 };
    bool m_overflowed { false };
};

/// \brief The requests in flight, by id. Each id is used only once, and only its own upstream may answer it.
///
/// Thread-safe. Lock order: the lock of the table, then that of an exchange.
class exchange_table {
public:
    /// Adds an exchange for a request to the upstream, with a new id.
    std::shared_ptr<exchange> open(const std::string& upstream);
    /// Removes an exchange; frames that arrive for it later are dropped.
    void close(std::uint64_t id);

    /// Pushes a frame to its exchange.
    /// \return false if the upstream has no open exchange with this id; the frame is dropped
    bool deliver(const std::string& upstream, std::uint64_t id, exchange_event event);

    /// The connection to the upstream's side process broke.
    void onConnectionLost(const std::string& upstream);

    /// The upstream's side process stopped answering.
    void onSilence(const std::string& upstream);

    /// \return the upstreams that have requests in flight.
    std::set<std::string> busyUpstreams() const;

    /// \return the number of requests in flight.
    std::size_t size() const;

private:
    void pushToAll(const std::string& upstream, const exchange_event& event);

    mutable std::mutex m_mutex;
    std::uint64_t m_nextId { 1 };
    std::map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
};

} // namespace sagesaddle
