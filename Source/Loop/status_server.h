#pragma once

#include "Loop/http_reader.h"
#include "Loop/tcp_listener.h"
#include "Loop/tcp_stream.h"

#include <map>

namespace sagesaddle {

/// \brief HTTP server on the event loop for requests with small answers, such as for readiness and metrics.
/// Bodies of requests are ignored.
class status_server {
public:
    /// \brief The answer to a request. An empty contentType is left out.
    struct reply {
        int status { 200 };
        std::string contentType;
        std::string body;
    };
    using on_request = std::function<reply(const http_head&)>;

    /// \param where address to listen on
    /// \throws std::runtime_error naming the address if the server cannot listen on it
    status_server(event_loop& loop, const address& where, on_request handler);
    ~status_server();

private:
    struct connection;

    void accept(evutil_socket_t socket);
    void drop(const connection* dropped);
    /// Answers the requests that have arrived, as far as the peer reads the answers.
    void read(connection& from);

    event_loop& m_loop;
    on_request m_handler;
    std::map<const connection*, std::shared_ptr<connection>> m_connections;
    // The connection that was dropped last. It is destroyed when the next one is dropped, since one of its
    // own handlers may still be running.
    std::shared_ptr<connection> m_dropped;
    tcp_listener m_listener;
};

} // namespace sagesaddle
