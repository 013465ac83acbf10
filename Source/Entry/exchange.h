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
#include <string>
#include <variant>

namespace sagesaddle {

/// \brief The link broke: what is outstanding will not come.
struct connection_lost { };

/// \brief The upstream's side process has fallen silent; it may come back.
struct upstream_silent { };

/// \brief The caller takes its answer so slowly that too much of it waits here.
struct answer_overflow { };

/// \brief The deadline passed with nothing received.
struct wait_expired { };

/// What may come next of an answer.
using exchange_event = std::variant<answer_head, answer_data, answer_end, refusal_message, connection_lost,
    upstream_silent, answer_overflow, wait_expired>;

/// \brief One request under way at one upstream: a side's frames in, its worker waits on the other end.
class exchange {
public:
    exchange(std::uint64_t id, std::string upstream);

    std::uint64_t id() const { return m_id; }
    const std::string& upstream() const { return m_upstream; }

    /// Hands over what came; never blocks.
    void push(exchange_event event);

    /// Waits for what comes next.
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

/// \brief The requests under way, by id. Each id is used once, and only its own upstream may answer to it.
///
/// Lock order: the table's lock, then an exchange's.
class exchange_table {
public:
    std::shared_ptr<exchange> open(const std::string& upstream);
    void close(std::uint64_t id);

    /// Hands a frame to its exchange.
    /// \return false where none of that id is open for this upstream: the frame is dropped
    bool deliver(const std::string& upstream, std::uint64_t id, exchange_event event);

    /// The link to the upstream broke.
    void onConnectionLost(const std::string& upstream);

    /// The upstream's side process has fallen silent.
    void onSilence(const std::string& upstream);

    std::size_t size() const;

private:
    void pushToAll(const std::string& upstream, const exchange_event& event);

    mutable std::mutex m_mutex;
    std::uint64_t m_nextId { 1 };
    std::map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
};

} // namespace sagesaddle
