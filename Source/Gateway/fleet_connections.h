#pragma once

#include "Loop/tcp_listener.h"
#include "Loop/tcp_stream.h"
#include "Wire/fleet_messages.h"

#include <map>

namespace sagesaddle {

/// \brief This gateway's connection to the coordinator.
class coordinator_connection {
public:
    struct handlers {
        std::function<void(fleet_update)> onUpdate;
        std::function<void(const quarantine_update&)> onQuarantine;
        std::function<void(const list_update&)> onListUpdate;
        /// The connection failed, or the coordinator sent bytes that are no message.
        std::function<void()> onLost;
    };

    coordinator_connection(event_loop& loop, address peer, handlers value);

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

/// \brief Receives the reports of other gateways and answers each of them.
class report_server {
public:
    /// Handles a report.
    /// \return the answer; nothing where this gateway does not coordinate, which closes the connection
    using on_report = std::function<std::optional<fleet_update>(fleet_report)>;

    report_server(event_loop& loop, const address& where, on_report handler);

    std::uint16_t port() const { return m_listener.port(); }
    /// Sends a message to all connected gateways. One that does not read is left out; its connection closes
    /// with its next report.
    void broadcast(const fleet_message& message);
    /// \return bytes of answers that gateways have not read yet, over all connections.
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
    std::shared_ptr<connection> m_lastDropped;
    tcp_listener m_listener;
};

} // namespace sagesaddle
