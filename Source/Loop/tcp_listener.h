#pragma once

#include "Base/address.h"
#include "Loop/event_loop.h"

#include <event2/listener.h>

namespace sagesaddle {

/// \brief Accepts TCP connections on the loop.
class tcp_listener {
public:
    using on_accept = std::function<void(evutil_socket_t)>;

    /// \throws std::runtime_error naming the address where it cannot be listened on
    tcp_listener(event_loop& loop, const address& where, on_accept handler);

    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// \return the port; of use where port 0 was asked for.
    std::uint16_t port() const;

private:
    struct listener_deleter {
        void operator()(evconnlistener* value) const { evconnlistener_free(value); }
    };

    on_accept m_handler;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
};

} // namespace sagesaddle
