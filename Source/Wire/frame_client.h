#pragma once

#include "Base/address.h"
#include "Wire/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace sagesaddle {

class io_thread_pool;

/// \brief A client's lasting connection to another process, connected again whenever it breaks.
///
/// Callbacks run on the pool's threads, one at a time for a link. They must not block.
class frame_client {
public:
    struct handlers {
        std::function<void(message)> onMessage;
        /// The connection stands; messages may be sent.
        std::function<void()> onUp;
        /// The connection broke: answers still outstanding will not come.
        std::function<void()> onDown;
        /// Why the connection broke or could not be made; may be empty.
        std::function<void(const std::string& reason)> onProblem {};
    };

    /// \param pool the threads that serve the link; must outlive it
    /// \param peer where the other process listens
    frame_client(io_thread_pool& pool, address peer, handlers callbacks);
    ~frame_client();

    frame_client(const frame_client&) = delete;
    frame_client& operator=(const frame_client&) = delete;

    /// Queues a message for sending; safe from any thread.
    /// \return false where the link is down or its send queue is full: then nothing was sent
    bool send(const message& value);

    bool isUp() const;

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace sagesaddle
