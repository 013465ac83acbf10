#include "Loop/status_server.h"

#include <utility>

namespace sagesaddle {

namespace {

constexpr std::size_t maxHeadBytes = 8192;
// The platform and a few operators connect at the same time. A further connection closes another one.
constexpr std::size_t maxConnections = 32;

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
    made->stream->setHandlers({ {},
        [this, raw] {
            while (true) {
                const auto bytes = raw->stream->readable();
                if (bytes.empty())
                    return;
                raw->stream->consume(raw->reader->feed(bytes));
                if (raw->reader->failed()) {
                    drop(raw);
                    return;
                }
                if (!std::exchange(raw->isRequestComplete, false))
                    continue;
                const reply value = m_handler(raw->head);
                std::string out = "HTTP/1.1 " + std::to_string(value.status) + " "
                    + std::string(reasonPhrase(value.status)) + "\r\n";
                if (!value.contentType.empty())
                    appendField(out, "Content-Type", value.contentType);
                appendField(out, "Content-Length", std::to_string(value.body.size()));
                raw->stream->write(out + "\r\n" + value.body);
            }
        },
        {}, [this, raw](stream_end) { drop(raw); } });
}

} // namespace sagesaddle
