#pragma once

#include "Fleet/upstream_list.h"
#include "Loop/http_reader.h"
#include "Loop/tcp_listener.h"
#include "Loop/tcp_stream.h"

#include <deque>
#include <memory>

namespace sagesaddle {

/// \brief An upstream whose answers the test writes.
class scripted_upstream {
public:
    struct request {
        http_head head;
        std::string body;
        tcp_stream* stream { nullptr };
        std::string get(const std::string& field) const
        {
            const auto* value = head.find(field);
            return value == nullptr ? std::string() : *value;
        }
    };
    using on_request = std::function<void(const request&)>;

    scripted_upstream(event_loop& loop, std::string id);

    /// Answers with the request's id and a signature; see the fields of the platform.
    static std::string answer(
        const request& asked, int status, const std::string& body, bool isSigned = true);
    /// Begins a stream.
    static std::string streamHead(const request& asked);
    /// An event as a chunk.
    static std::string event(int id, const std::string& data);

    upstream_entry entry(const std::string& zone = "z") const;
    /// Cuts a connection.
    void cut(const tcp_stream* stream);
    void cutAll();
    bool isOpen(const tcp_stream* stream) const;

    event_loop& loop() { return m_loop; }

    on_request onRequest;
    std::deque<request> requests;
    int openStreams { 0 };
    /// Connections that were ever made; a new one may lie where an old one lay.
    int accepted { 0 };
    std::vector<loaded_model> models;
    std::string service { "desk" };

private:
    struct connection;

    void accept(evutil_socket_t socket);

    event_loop& m_loop;
    std::string m_id;
    std::vector<std::shared_ptr<connection>> m_connections;
    tcp_listener m_listener;
};

/// \brief A caller that sends bytes and collects what comes back.
class scripted_caller {
public:
    scripted_caller(event_loop& loop, std::uint16_t port);

    void send(const std::string& text);
    /// A whole request with an id, a key and a deadline.
    void request(const std::string& method, const std::string& path, const std::string& fields = "",
        const std::string& body = "");
    void leave() { m_stream.reset(); }
    /// \return the status of the first answer that came; 0 before that.
    int status() const;
    const std::string& text() const { return m_text; }
    bool isClosed() const { return m_closed; }
    bool has(const std::string& part) const { return m_text.find(part) != std::string::npos; }

private:
    std::unique_ptr<tcp_stream> m_stream;
    std::string m_text;
    bool m_closed { false };
};

} // namespace sagesaddle
