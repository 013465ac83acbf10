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

/// \brief Why a request's body could not be read.
enum class body_failure {
    None,
    TooLarge,
    /// The sender stopped, or was too slow.
    Incomplete,
};

/// \brief One request as a server's handler meets it, and the way to answer it.
class http_call {
public:
    using header_list = std::vector<std::pair<std::string, std::string>>;

    http_call(mg_connection* connection, const header_list& extraHeaders);

    std::string method() const;
    /// \return the path as sent, without the query.
    std::string path() const;
    std::string query() const;
    /// \return all header fields as sent, repeated ones included.
    const header_list& headers() const { return m_headers; }
    /// \return the values of a header, its name compared without case.
    std::vector<std::string> header(std::string_view name) const;
    /// \return whether the caller understands answers in chunks.
    bool acceptsChunks() const;
    /// \return the caller's IP number.
    std::string callerIp() const;

    /// Reads the whole body.
    /// \param limit the most bytes that are taken
    /// \param timeout when to give up on a slow sender
    body_failure readBody(std::string& body, std::size_t limit, milliseconds timeout = milliseconds(30000));

    /// Answers whole.
    void respond(std::uint16_t status, const header_list& headers, std::string_view body);

    /// Starts an answer whose length is not known yet.
    /// \return false where the caller is gone
    bool startStream(std::uint16_t status, const header_list& headers);
    bool sendChunk(std::string_view bytes);
    bool endStream();
    /// Closes the connection once the call is answered: what follows on it is not to be read.
    void closeAfterResponse();
    /// Breaks off a started answer, so that it cannot look complete.
    void abandon();

    bool answered() const { return m_answered; }

    /// \return whether nearly all workers are taken, so that this call should be refused at once.
    bool isOverloaded() const { return m_crowded; }
    void markOverloaded() { m_crowded = true; }

private:
    mg_connection* m_connection;
    const header_list& m_extraHeaders;
    header_list m_headers;
    bool m_answered { false };
    bool m_crowded { false };
    bool m_closesAfterwards { false };
};

/// \brief An HTTP server whose handler runs on a pool of workers.
///
/// A connection takes a worker for as long as it stands. Connections are kept alive only while half of
/// the workers are free, so that idle ones never keep callers out, and calls that come when hardly one is
/// left are marked as crowded.
class http_server {
public:
    struct options {
        address listen;
        std::uint32_t workers { 16 };
        milliseconds requestTimeout { 30000 };
        milliseconds keepAliveTimeout { 15000 };
        std::size_t maxHeaderBytes { 16 * 1024 };
        /// PEM file with certificate and key; empty for plain HTTP.
        std::string certificateFile;
        /// Sent with every answer.
        http_call::header_list extraHeaders;
    };
    using handler = std::function<void(http_call&)>;

    /// \throws std::runtime_error naming the address, or the certificate file, that cannot be used
    http_server(options settings, handler onCall);

    /// Stops accepting and waits for the calls that run.
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
