#include "Support/scripted_http.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

struct scripted_upstream::connection {
    std::unique_ptr<tcp_stream> stream;
    std::unique_ptr<http_reader> reader;
    http_head head;
    std::string body;
    bool isComplete { false };
};

scripted_upstream::scripted_upstream(event_loop& loop, std::string id)
    : m_loop(loop)
    , m_id(std::move(id))
{
    listen();
}

void scripted_upstream::listen()
{
    m_listener = std::make_unique<tcp_listener>(
        m_loop, address { "127.0.0.1", m_port }, [this](evutil_socket_t socket) { accept(socket); });
    m_port = m_listener->port();
}

void scripted_upstream::stopListening()
{
    m_listener.reset();
    cutAll();
}

void scripted_upstream::accept(evutil_socket_t socket)
{
    auto added = std::make_shared<connection>();
    connection* const raw = added.get();
    added->stream = std::make_unique<tcp_stream>(m_loop, socket);
    added->reader = std::make_unique<http_reader>(http_reader::message::Requests, 65536,
        http_reader::handlers { [raw](http_head head) { raw->head = std::move(head); },
            [raw](std::string_view bytes) { raw->body.append(bytes); }, [raw] { raw->isComplete = true; } });
    ++openStreams;
    ++accepted;
    m_connections.push_back(added);
    added->stream->setHandlers({ {},
        [this, raw] {
            raw->stream->consume(raw->reader->feed(raw->stream->readable()));
            if (!std::exchange(raw->isComplete, false))
                return;
            requests.push_back({ std::move(raw->head), std::exchange(raw->body, {}), raw->stream.get() });
            if (onRequest)
                onRequest(requests.back());
        },
        {}, [this, raw](stream_end) { cut(raw->stream.get()); } });
}

void scripted_upstream::cut(const tcp_stream* stream)
{
    const auto found = std::find_if(m_connections.begin(), m_connections.end(),
        [&](const auto& item) { return item->stream.get() == stream; });
    if (found == m_connections.end() || !(*found)->stream)
        return;
    (*found)->stream.reset();
    --openStreams;
}

bool scripted_upstream::isOpen(const tcp_stream* stream) const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
        [&](const auto& item) { return item->stream.get() == stream; });
}

void scripted_upstream::cutAll()
{
    for (const auto& open : m_connections) {
        if (open->stream)
            cut(open->stream.get());
    }
}

std::string scripted_upstream::answer(
    const request& received, int status, const std::string& body, bool isSigned)
{
    std::string text
        = "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + received.get("Request-Id") + "\r\n";
    if (isSigned)
        text += "Server-Stamp: s\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string scripted_upstream::streamHead(const request& received)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + received.get("Request-Id")
        + "\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string scripted_upstream::event(int id, const std::string& data)
{
    std::string text;
    appendChunk(text, "id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
    return text;
}

upstream_entry scripted_upstream::entry(const std::string& zone) const
{
    upstream_entry value;
    value.id = m_id;
    value.service = service;
    value.endpoint = { "127.0.0.1", m_port };
    value.zone = zone;
    value.slots = 8;
    value.models = models;
    return value;
}

scripted_caller::scripted_caller(event_loop& loop, std::uint16_t port)
    : m_stream(std::make_unique<tcp_stream>(loop, address { "127.0.0.1", port }, seconds(10)))
{
    m_stream->setHandlers({ {},
        [this] {
            m_text.append(m_stream->readable());
            m_stream->consume(m_stream->readable().size());
        },
        {}, [this](stream_end) { m_closed = true; } });
}

void scripted_caller::send(const std::string& text)
{
    m_stream->write(text);
}

void scripted_caller::request(
    const std::string& method, const std::string& path, const std::string& fields, const std::string& body)
{
    send(method + " " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r" + path
        + "\r\nKey: key-1\r\nDeadline-Ms: 10000\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

int scripted_caller::status() const
{
    constexpr std::size_t statusOffset = 9;
    return m_text.size() < statusOffset + 3 ? 0 : std::stoi(m_text.substr(statusOffset, 3));
}

} // namespace sagesaddle
