#pragma once

#include "Base/address.h"
#include "Wire/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace sagesaddle {

class io_thread_pool;

/// \brief Client of a frame_server: keeps a connection to another process and reconnects whenever it breaks.
///
/// After a failure it waits before the next attempt, for a random time in a backoff that doubles up to 2 s.
/// Callbacks run on the pool's threads, one at a time for each client. They must not block.
class frame_client {
public:
    struct handlers {
        std::function<void(message)> onMessage;
        /// The connection is open; messages can be sent.
        std::function<void()> onUp;
        /// The connection broke; outstanding answers will not arrive.
        std::function<void()> onDown;
        /// Receives the reason whenever the connection broke or could not be made. Optional.
        std::function<void(const std::string& reason)> onProblem {};
    };

    /// \param pool threads that serve the connection; must outlive the client
    /// \param peer address on which the other process listens
    frame_client(io_thread_pool& pool, address peer, handlers callbacks);
    /// Waits for a running callback and closes the connection; never called from a callback.
    ~frame_client();

    frame_client(const frame_client&) = delete;
    frame_client& operator=(const frame_client&) = delete;

    /// Queues a message for sending; safe from any thread.
    /// \return false if there is no connection or its send queue is full: then nothing was queued
    /// \throws frame_error if the message is too large for a frame
    bool send(const message& value);

    /// \return whether there is a connection.
    bool isUp() const;

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace sagesaddle
