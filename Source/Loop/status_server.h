#pragma once

#include "Loop/http_reader.h"
#include "Loop/tcp_listener.h"
#include "Loop/tcp_stream.h"

#include <map>

namespace sagesaddle {

/// \brief Answers small calls, such as for readiness and metrics, on the loop.
class status_server {
public:
    struct reply {
        int status { 200 };
        std::string contentType;
        std::string body;
    };
    using on_call = std::function<reply(const http_head&)>;

    /// \throws std::runtime_error naming the address where it cannot be listened on
    status_server(event_loop& loop, const address& where, on_call handler);
    ~status_server();

private:
    struct connection;

    void accept(evutil_socket_t socket);
    void drop(const connection* which);

    event_loop& m_loop;
    on_call m_handler;
    std::map<const connection*, std::shared_ptr<connection>> m_connections;
    std::shared_ptr<connection> m_dropped;
    tcp_listener m_listener;
};

} // namespace sagesaddle
