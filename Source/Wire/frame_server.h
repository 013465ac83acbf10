#pragma once

#include "Base/address.h"
#include "Wire/messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sagesaddle {

class io_thread_pool;

/// Identifies a connection that a frame_server accepted; a server never uses an id twice.
using connection_id = std::uint64_t;

/// \brief Accepts connections from frame_clients of other processes and exchanges messages with them.
///
/// Callbacks run on the pool's threads, one at a time for each connection. They must not block.
class frame_server {
public:
    struct handlers {
        std::function<void(connection_id, message)> onMessage;
        std::function<void(connection_id)> onClosed;
        /// Receives the reason why a connection closed, right before onClosed. Optional.
        std::function<void(connection_id, const std::string& reason)> onProblem {};
    };

    /// \param pool threads that serve the connections; must outlive the server
    /// \param listen address to listen on; with port 0 the system chooses a free port
    /// \throws std::system_error if the server cannot listen on the address
    frame_server(io_thread_pool& pool, const address& listen, handlers callbacks);
    /// Waits for running callbacks, stops listening and closes all connections; never called from a callback.
    ~frame_server();

    frame_server(const frame_server&) = delete;
    frame_server& operator=(const frame_server&) = delete;

    /// \return the address on which the server listens, with the actual port.
    address listenAddress() const;

    /// Queues a message for sending; safe from any thread.
    /// \return false if the connection has closed or its send queue is full: then nothing was queued
    /// \throws frame_error if the message is too large for a frame
    bool send(connection_id connection, const message& value);

    /// Queues a message for every open connection; skips those whose send queue is full.
    void broadcast(const message& value);

    /// Closes all connections gracefully: stops accepting, sends the queued frames, shuts down the sending
    /// sides and waits until the peers have closed. \param limit longest time to wait
    void finish(std::chrono::milliseconds limit);

    /// Stops accepting connections; the open ones stay open.
    void stopAccepting();

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace sagesaddle
