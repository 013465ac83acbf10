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

/// \brief A request as an HTTP client sends it.
struct http_request {
    std::string method { "GET" };
    address server;
    /// Path and query.
    std::string target { "/" };
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Whether a call without a body may be sent twice; a call with a body never is.
    bool idempotent { true };
    /// Time for the whole exchange.
    milliseconds timeout { 10000 };
    milliseconds connectTimeout { 1000 };
    /// Asked right before the body leaves, on a connection that stands; false abandons the exchange, which
    /// the server then cannot have run. For what must not be sent once a lease or a deadline is over: this
    /// process may be suspended between deciding and sending.
    std::function<bool()> mayStillSend;
};

/// \brief An answer, whole.
struct http_response {
    std::uint16_t status { 0 };
    /// Names in lower case.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// \return the first header of that name (given in lower case), or an empty text.
    std::string_view header(std::string_view name) const;
};

/// \brief An exchange that did not come to its end.
class http_error : public std::runtime_error {
public:
    http_error(const std::string& what, verdict ran)
        : std::runtime_error(what)
        , m_verdict(ran)
    {
    }

    /// NotRun only where no byte of the request left this process.
    verdict ran() const { return m_verdict; }

private:
    verdict m_verdict;
};

/// \brief Receives an answer as it arrives.
struct http_sink {
    /// Called once, before any data.
    std::function<void(std::uint16_t status, const std::vector<std::pair<std::string, std::string>>& headers)>
        onHead;
    /// Called for each piece of the body as it comes.
    std::function<void(std::string_view bytes)> onData;
    /// Asked several times a second; true abandons the exchange.
    std::function<bool()> isCancelled;
};

/// \brief An HTTP/1.1 client that keeps its connections alive; one thread at a time may use it.
class http_client {
public:
    http_client();
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// \return the whole answer, of any status.
    /// \throws http_error where no whole answer came in time
    http_response send(const http_request& request);

    /// Hands the answer to the sink piece by piece.
    /// \throws http_error where no whole answer came in time, or the sink cancelled
    void stream(const http_request& request, const http_sink& sink);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
