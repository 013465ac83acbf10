#pragma once

#include "Base/address.h"
#include "Loop/event_loop.h"

#include <event2/listener.h>

namespace sagesaddle {

/// \brief Accepts TCP connections on the event loop.
class tcp_listener {
public:
    /// Receives the socket of an accepted connection and must close it in the end.
    using on_accept = std::function<void(evutil_socket_t)>;

    /// \param where address to listen on; port 0 lets the system choose a port
    /// \throws std::runtime_error naming the address if it cannot listen on it
    tcp_listener(event_loop& loop, const address& where, on_accept handler);

    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// \return the port that it listens on, also where the system chose it.
    std::uint16_t port() const;

private:
    struct listener_deleter {
        void operator()(evconnlistener* value) const { evconnlistener_free(value); }
    };

    on_accept m_handler;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
};

} // namespace sagesaddle
