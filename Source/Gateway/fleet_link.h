#pragma once

#include "Loop/tcp_listener.h"
#include "Loop/tcp_stream.h"
#include "Wire/fleet_messages.h"

#include <map>

namespace sagesaddle {

/// \brief This gateway's connection to the coordinator.
class coordinator_link {
public:
    struct handlers {
        std::function<void(fleet_news)> onNews;
        std::function<void()> onLost;
    };

    coordinator_link(event_loop& loop, address peer, handlers value);

    bool isConnected() const { return m_connected; }
    const address& peer() const { return m_peer; }
    void send(const fleet_report& report);

private:
    void read();

    address m_peer;
    handlers m_handlers;
    tcp_stream m_stream;
    bool m_connected { false };
};

/// \brief Takes reports of other gateways and answers each with news.
class report_server {
public:
    /// Receives a report.
    /// \return the news; nothing where this gateway does not coordinate, which closes the connection
    using on_report = std::function<std::optional<fleet_news>(fleet_report)>;

    report_server(event_loop& loop, const address& where, on_report handler);

    std::uint16_t port() const { return m_listener.port(); }
    /// \return bytes of news that gateways have not taken yet.
    std::size_t unwrittenBytes() const;

private:
    struct connection {
        std::unique_ptr<tcp_stream> stream;
    };

    void accept(evutil_socket_t socket);
    void read(connection& which);
    void drop(const connection& which);

    event_loop& m_loop;
    on_report m_handler;
    std::map<const connection*, std::shared_ptr<connection>> m_connections;
    std::shared_ptr<connection> m_dropped;
    tcp_listener m_listener;
};

} // namespace sagesaddle
