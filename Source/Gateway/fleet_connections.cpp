#include "Gateway/fleet_connections.h"

#include "Watch/log.h"

namespace sagesaddle {

namespace {

// Bytes that stay unacknowledged for this time mean a broken path to the other gateway.
constexpr milliseconds acknowledgementTimeout { 600 };
// Bytes that a gateway may leave unread before its connection is closed.
constexpr std::size_t maxUnreadBytes = std::size_t { 1 } << 20U;

} // namespace

coordinator_connection::coordinator_connection(event_loop& loop, address peer, handlers value)
    : m_peer(std::move(peer))
    , m_handlers(std::move(value))
    , m_stream(loop, m_peer, acknowledgementTimeout)
{
    m_stream.setHandlers({ [this] { m_connected = true; }, [this] { read(); }, {},
        [this](stream_end) {
            m_connected = false;
            m_handlers.onLost();
        } });
}

void coordinator_connection::send(const fleet_report& report)
{
    m_stream.write(encodeFleetMessage(report));
}

void coordinator_connection::read()
{
    try {
        while (true) {
            auto frame = decodeFleetMessage(m_stream.readable());
            if (frame.size == 0)
                return;
            m_stream.consume(frame.size);
            if (!frame.message)
                continue;
            if (auto* update = std::get_if<fleet_update>(&*frame.message))
                m_handlers.onUpdate(std::move(*update));
            else if (const auto* quarantine = std::get_if<quarantine_update>(&*frame.message))
                m_handlers.onQuarantine(*quarantine);
            else if (const auto* list = std::get_if<list_update>(&*frame.message))
                m_handlers.onListUpdate(*list);
        }
    } catch (const std::runtime_error& error) {
        writeLog(log_level::Error, "peer_unreadable",
            { { "peer", formatAddress(m_peer) }, { "error", error.what() } });
        m_handlers.onLost();
    }
}

report_server::report_server(event_loop& loop, const address& where, on_report handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(loop, where, [this](evutil_socket_t socket) { accept(socket); })
{
}

void report_server::accept(evutil_socket_t socket)
{
    auto added = std::make_shared<connection>();
    connection* const key = added.get();
    added->stream = std::make_unique<tcp_stream>(m_loop, socket);
    m_connections.emplace(key, added);
    added->stream->setHandlers(
        { {}, [this, key] { read(*key); }, {}, [this, key](stream_end) { drop(*key); } });
}

std::size_t report_server::unwrittenBytes() const
{
    std::size_t bytes = 0;
    for (const auto& [key, value] : m_connections)
        bytes += value->stream->unwritten();
    return bytes;
}

void report_server::broadcast(const fleet_message& message)
{
    const std::string bytes = encodeFleetMessage(message);
    for (const auto& [key, value] : m_connections) {
        if (value->stream->unwritten() <= maxUnreadBytes)
            value->stream->write(bytes);
    }
}

void report_server::drop(const connection& which)
{
    const auto found = m_connections.find(&which);
    if (found == m_connections.end())
        return;
    found->second->stream->close();
    // Kept until the next connection is dropped, since a handler of this one may be running.
    m_lastDropped = std::move(found->second);
    m_connections.erase(found);
}

void report_server::read(connection& which)
{
    try {
        while (true) {
            auto frame = decodeFleetMessage(which.stream->readable());
            if (frame.size == 0)
                return;
            which.stream->consume(frame.size);
            if (!frame.message || !std::holds_alternative<fleet_report>(*frame.message))
                continue;
            const auto update = m_handler(std::get<fleet_report>(std::move(*frame.message)));
            if (!update || which.stream->unwritten() > maxUnreadBytes) {
                drop(which);
                return;
            }
            which.stream->write(encodeFleetMessage(*update));
        }
    } catch (const std::runtime_error& error) {
        writeLog(log_level::Error, "peer_unreadable", { { "error", error.what() } });
        drop(which);
    }
}

} // namespace sagesaddle
