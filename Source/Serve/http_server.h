#pragma once

#include "Base/address.h"
#include "Base/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct mg_connection;

namespace sagesaddle {

/// \brief Why the body of a request could not be read.
enum class body_failure {
    None,
    /// The body is larger than the limit.
    TooLarge,
    /// The caller stopped sending, or sent too slowly.
    Incomplete,
};

/// \brief One request that a server received, and the means to answer it.
class http_call {
public:
    using header_list = std::vector<std::pair<std::string, std::string>>;

    http_call(mg_connection* connection, const header_list& extraHeaders);

    std::string method() const;
    /// \return the path as sent, without the query.
    std::string path() const;
    /// \return the query without the `?`; empty if there is none.
    std::string query() const;
    /// \return all header fields as sent, including repeated ones.
    const header_list& headers() const { return m_headers; }
    /// \return the values of all headers with that name, compared without regard to case.
    std::vector<std::string> header(std::string_view name) const;
    /// \return whether the caller supports the chunked transfer encoding, that is, speaks HTTP/1.1.
    bool acceptsChunks() const;
    /// \return the IP address of the caller.
    std::string callerIp() const;

    /// Reads the whole body.
    /// \param body the bytes that are read are appended to it
    /// \param limit largest body that is accepted, in bytes
    /// \param timeout time limit for reading the body
    /// \return body_failure::None if the body is complete
    body_failure readBody(std::string& body, std::size_t limit, milliseconds timeout = milliseconds(30000));

    /// Sends a complete answer.
    void respond(std::uint16_t status, const header_list& headers, std::string_view body);

    /// Starts an answer of unknown length, in the chunked transfer encoding.
    /// \return false if the caller has closed the connection
    bool startStream(std::uint16_t status, const header_list& headers);
    /// Sends a part of the body of a started answer; empty parts are skipped.
    /// \return false if the caller has closed the connection
    bool sendChunk(std::string_view bytes);
    /// Completes a started answer.
    /// \return false if the caller has closed the connection
    bool endStream();
    /// Closes the connection after the answer, so that nothing more is read from it.
    void closeAfterResponse();
    /// Aborts a started answer by closing the connection, so that the answer cannot look complete.
    void abandon();

    /// \return whether an answer was sent, started or aborted.
    bool answered() const { return m_answered; }

    /// \return whether nearly all workers are in use, so that this request should be rejected at once.
    bool isOverloaded() const { return m_isOverloaded; }
    void markOverloaded() { m_isOverloaded = true; }

private:
    mg_connection* m_connection;
    const header_list& m_extraHeaders;
    header_list m_headers;
    bool m_answered { false };
    bool m_isOverloaded { false };
    bool m_closesAfterResponse { false };
};

/// \brief An HTTP server that calls its handler on a pool of worker threads.
///
/// A connection occupies a worker as long as it is open. Connections are kept alive only while at least half
/// of the workers are free, so that idle connections never block other callers. Requests that arrive when
/// nearly all workers are in use are marked as overloaded.
class http_server {
public:
    struct options {
        address listen;
        /// Worker threads: the most connections that are served at once.
        std::uint32_t workers { 16 };
        /// Time limit for receiving a request.
        milliseconds requestTimeout { 30000 };
        /// How long an idle connection is kept open.
        milliseconds keepAliveTimeout { 15000 };
        /// Largest head of a request, in bytes.
        std::size_t maxHeaderBytes { 16 * 1024 };
        /// PEM file with certificate chain and key; empty for HTTP without TLS.
        std::string certificateFile;
        /// Headers that are added to every answer.
        http_call::header_list extraHeaders;
    };
    using handler = std::function<void(http_call&)>;

    /// Starts to listen.
    /// \param onCall called for each request, from several threads at once
    /// \throws std::runtime_error if the address or the certificate file cannot be used; the message names it
    http_server(options settings, handler onCall);

    /// Stops accepting connections and waits for the requests in progress.
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
