#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Base/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sagesaddle {

/// \brief A request to be sent by an http_client.
struct http_request {
    std::string method { "GET" };
    address server;
    /// Path and query, sent as they are.
    std::string target { "/" };
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Whether a request without a body may be sent twice, as the client may do when a kept-alive connection
    /// ends without an answer. A request with a body is never sent twice.
    bool idempotent { true };
    /// Time limit for the whole exchange, connecting included.
    milliseconds timeout { 10000 };
    milliseconds connectTimeout { 1000 };
    /// Called right before each part of the body is sent, once the connection is open; if it returns false,
    /// the exchange is aborted and the server cannot have run the request. For requests that must not be sent
    /// after a lease or a deadline has expired: this process may be suspended between the decision and the
    /// sending. Not called for a request without a body.
    std::function<bool()> mayStillSend;
};

/// \brief A complete answer.
struct http_response {
    std::uint16_t status { 0 };
    /// Header fields in the order received; names in lower case.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// \return the value of the first header with that name, or an empty string if there is none.
    /// \param name header name in lower case
    std::string_view header(std::string_view name) const;
};

/// \brief An exchange that ended without a complete answer.
class http_error : public std::runtime_error {
public:
    http_error(const std::string& what, verdict ran)
        : std::runtime_error(what)
        , m_verdict(ran)
    {
    }

    /// \return whether the server may have run the request. NotRun if no connection was made, or if
    /// mayStillSend kept the body from being sent; else MayHaveRun.
    verdict ran() const { return m_verdict; }

private:
    verdict m_verdict;
};

/// \brief Callbacks that receive an answer as it arrives.
struct http_sink {
    /// Called once, with status and headers, before any data.
    std::function<void(std::uint16_t status, const std::vector<std::pair<std::string, std::string>>& headers)>
        onHead;
    /// Called for each piece of the body as it arrives.
    std::function<void(std::string_view bytes)> onData;
    /// Called several times a second; if it returns true, the exchange is aborted.
    std::function<bool()> isCancelled;
};

/// \brief A blocking HTTP/1.1 client that keeps connections alive. Not thread-safe.
class http_client {
public:
    http_client();
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and waits for the answer.
    /// \return the complete answer, whatever its status
    /// \throws http_error if no complete answer arrived in time
    http_response send(const http_request& request);

    /// Sends a request and passes the answer to the sink piece by piece.
    /// \throws http_error if no complete answer arrived in time, or the sink cancelled the exchange; an
    /// exception of the sink's callbacks is passed on
    void stream(const http_request& request, const http_sink& sink);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
