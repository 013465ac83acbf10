#include "Loop/status_server.h"

#include <utility>

namespace sagesaddle {

namespace {

constexpr std::size_t maxHeadBytes = 8192;
// The platform and a few operators connect at the same time. A further connection closes another one.
constexpr std::size_t maxConnections = 32;
// Largest memory of a head; one of very many short fields occupies far more than its text.
constexpr std::size_t maxHeldHeadBytes = 65536;
// Bytes of answers that the peer has not read above which no further request is read, and bytes of requests
// that then wait.
constexpr std::size_t maxUnreadBytes = 16384;

} // namespace

struct status_server::connection {
    std::unique_ptr<tcp_stream> stream;
    std::unique_ptr<http_reader> reader;
    http_head head;
    bool isRequestComplete { false };
};

status_server::status_server(event_loop& loop, const address& where, on_request handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(loop, where, [this](evutil_socket_t socket) { accept(socket); })
{
}

status_server::~status_server() = default;

void status_server::drop(const connection* dropped)
{
    const auto found = m_connections.find(dropped);
    if (found == m_connections.end())
        return;
    found->second->stream->close();
    m_dropped = std::move(found->second);
    m_connections.erase(found);
}

void status_server::accept(evutil_socket_t socket)
{
    if (m_connections.size() >= maxConnections)
        drop(m_connections.begin()->first);
    auto made = std::make_shared<connection>();
    connection* const raw = made.get();
    made->reader = std::make_unique<http_reader>(http_reader::message::Requests, maxHeadBytes,
        http_reader::handlers { [raw](http_head head) { raw->head = std::move(head); },
            [](std::string_view) {}, [raw] { raw->isRequestComplete = true; } });
    made->stream = std::make_unique<tcp_stream>(m_loop, socket);
    m_connections.emplace(raw, made);
    made->stream->limitUnread(maxUnreadBytes);
    made->stream->setHandlers({ {}, [this, raw] { read(*raw); }, [this, raw] { read(*raw); },
        [this, raw](stream_end) { drop(raw); } });
}

void status_server::read(connection& from)
{
    while (from.stream->unwritten() <= maxUnreadBytes) {
        const auto bytes = from.stream->readable();
        if (bytes.empty())
            return;
        from.stream->consume(from.reader->feed(bytes));
        if (from.reader->failed() || from.reader->heldBytes() > maxHeldHeadBytes) {
            drop(&from);
            return;
        }
        if (!std::exchange(from.isRequestComplete, false))
            continue;
        const reply value = m_handler(from.head);
        from.head = {};
        std::string out = "HTTP/1.1 " + std::to_string(value.status) + " "
            + std::string(reasonPhrase(value.status)) + "\r\n";
        if (!value.contentType.empty())
            appendField(out, "Content-Type", value.contentType);
        appendField(out, "Content-Length", std::to_string(value.body.size()));
        from.stream->write(out + "\r\n" + value.body);
    }
}

} // namespace sagesaddle
