#pragma once

#include "Base/address.h"
#include "Loop/http_reader.h"
#include "Loop/tcp_stream.h"
#include "Loop/timer.h"

#include <map>
#include <optional>

namespace sagesaddle {

/// \brief A complete answer to an HTTP call.
struct http_answer {
    int status { 0 };
    std::vector<http_field> fields;
    std::string body;
};

/// \brief HTTP client on the event loop for calls to one peer. Each call has a timeout; connections are kept
/// alive and reused.
///
/// A call that is not answered in time closes its connection, so that a late answer cannot be taken for the
/// answer to another call.
class loop_http_client {
public:
    /// Receives the answer, or nothing if there was none. Without an answer, the peer may still have carried
    /// out the call.
    using on_answer = std::function<void(std::optional<http_answer>)>;

    /// \param maxAnswerBytes size of an answer's body above which the call fails
    loop_http_client(event_loop& loop, address peer, std::size_t maxAnswerBytes);
    ~loop_http_client();

    loop_http_client(const loop_http_client&) = delete;
    loop_http_client& operator=(const loop_http_client&) = delete;

    /// Sends a request. The handler is called once, unless the client is destroyed before.
    /// \param request the complete message, head and body
    /// \param timeout time without a byte of the answer after which the call fails. A large answer over a
    /// slow link may take longer in total, by 10 s at most.
    void call(std::string_view request, milliseconds timeout, on_answer handler);

    const address& peer() const { return m_peer; }

private:
    struct connection;

    std::shared_ptr<connection> findIdle();
    void open(const std::shared_ptr<connection>& target);
    void finish(connection& finished, std::optional<http_answer> answer, bool isReusable);

    event_loop& m_loop;
    address m_peer;
    std::size_t m_maxAnswerBytes;
    std::map<const connection*, std::shared_ptr<connection>> m_connections;
    // Closed connections. They are destroyed with the next call, since one of their own handlers may still be
    // running.
    std::vector<std::shared_ptr<connection>> m_closed;
};

} // namespace sagesaddle
