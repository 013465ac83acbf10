#pragma once

#include "Fleet/upstream_list.h"
#include "Loop/http_reader.h"
#include "Loop/tcp_listener.h"
#include "Loop/tcp_stream.h"

#include <deque>
#include <memory>

namespace sagesaddle {

/// \brief An HTTP server in the place of an upstream, whose answers the test writes.
class scripted_upstream {
public:
    struct request {
        http_head head;
        std::string body;
        tcp_stream* stream { nullptr };
        /// \return the value of a header field, empty where the request has none.
        std::string get(const std::string& field) const
        {
            const auto* value = head.find(field);
            return value == nullptr ? std::string() : *value;
        }
    };
    using on_request = std::function<void(const request&)>;

    scripted_upstream(event_loop& loop, std::string id);

    /// \return a whole answer with the id of the request.
    /// \param isSigned whether the answer has the upstream's signature (Server-Stamp)
    static std::string answer(
        const request& received, int status, const std::string& body, bool isSigned = true);
    /// \return the head of a streamed answer, signed.
    static std::string streamHead(const request& received);
    /// \return a server-sent event as an HTTP chunk.
    static std::string event(int id, const std::string& data);

    /// \return the entry for the upstream list, with `service` and `models` as they are now.
    upstream_entry entry(const std::string& zone = "z") const;
    /// \brief Closes a connection at once; pending answers are lost.
    void cut(const tcp_stream* stream);
    void cutAll();
    /// \brief Closes all connections and refuses new ones until listen() is called.
    void stopListening();
    void listen();
    bool isOpen(const tcp_stream* stream) const;

    event_loop& loop() { return m_loop; }

    /// Called for each complete request, after it was added to `requests`.
    on_request onRequest;
    std::deque<request> requests;
    int openStreams { 0 };
    /// Connections accepted since the start. Pointers cannot tell connections apart: a new one may have the
    /// address of an old one.
    int accepted { 0 };
    std::vector<loaded_model> models;
    std::string service { "desk" };

private:
    struct connection;

    void accept(evutil_socket_t socket);

    event_loop& m_loop;
    std::string m_id;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::uint16_t m_port { 0 };
    std::unique_ptr<tcp_listener> m_listener;
};

/// \brief A client connection that sends any bytes and collects the answer as text.
class scripted_caller {
public:
    scripted_caller(event_loop& loop, std::uint16_t port);

    void send(const std::string& text);
    /// \brief Sends a whole request with a request id, an API key and a deadline of 10 s.
    /// \param fields further header lines, each with its line end
    void request(const std::string& method, const std::string& path, const std::string& fields = "",
        const std::string& body = "");
    /// \brief Closes the connection.
    void leave() { m_stream.reset(); }
    /// \return the status of the first answer; 0 before one came.
    int status() const;
    /// \return everything that was received.
    const std::string& text() const { return m_text; }
    /// \return whether the peer closed the connection.
    bool isClosed() const { return m_closed; }
    bool has(const std::string& part) const { return m_text.find(part) != std::string::npos; }

private:
    std::unique_ptr<tcp_stream> m_stream;
    std::string m_text;
    bool m_closed { false };
};

} // namespace sagesaddle
