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

/// Names a connection accepted by a frame_server; never used twice by a process.
using connection_id = std::uint64_t;

/// \brief Accepts connections of other processes and exchanges frames with them.
///
/// Callbacks run on the pool's threads, one at a time for a connection. They must not block.
class frame_server {
public:
    struct handlers {
        std::function<void(connection_id, message)> onMessage;
        std::function<void(connection_id)> onClosed;
        /// Why a connection closed, told before onClosed; may be empty.
        std::function<void(connection_id, const std::string& reason)> onProblem {};
    };

    /// \param pool the threads that serve the connections; must outlive the server
    /// \param listen where to listen; port 0 takes a free one
    /// \throws std::system_error where it cannot listen there
    frame_server(io_thread_pool& pool, const address& listen, handlers callbacks);
    /// Waits for running callbacks and gives the address back; never called from a callback.
    ~frame_server();

    frame_server(const frame_server&) = delete;
    frame_server& operator=(const frame_server&) = delete;

    /// \return the address in use, with the port that was taken.
    address listenAddress() const;

    /// Queues a message for sending; safe from any thread.
    /// \return false where the connection is gone or its send queue is full: then nothing was sent
    bool send(connection_id connection, const message& value);

    /// Queues a message for every connection that stands.
    void broadcast(const message& value);

    /// Ends all connections in good order: sends what is queued, says that nothing more will come and
    /// waits until the peers have closed.
    /// \param limit when to stop waiting
    void finish(std::chrono::milliseconds limit);

    /// Accepts no further connection; those that stand go on.
    void stopAccepting();

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace sagesaddle
