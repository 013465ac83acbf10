#pragma once

#include "Base/address.h"
#include "Loop/http_reader.h"
#include "Loop/tcp_stream.h"
#include "Loop/timer.h"

#include <map>
#include <optional>

namespace sagesaddle {

/// \brief A whole answer to a call.
struct http_answer {
    int status { 0 };
    std::string body;
};

/// \brief Makes whole calls to one peer over kept connections, each with a timeout.
///
/// A call whose answer does not come in time closes its connection, so that a late answer meets nobody.
class loop_http_client {
public:
    /// Receives the answer, or nothing where none came: the call may have been carried out.
    using on_answer = std::function<void(std::optional<http_answer>)>;

    loop_http_client(event_loop& loop, address peer);
    ~loop_http_client();

    loop_http_client(const loop_http_client&) = delete;
    loop_http_client& operator=(const loop_http_client&) = delete;

    /// \param request the whole message, head and body
    /// \param timeout time without a byte of the answer after which the call is given up; a large answer on a
    /// thin link may take longer as a whole
    void call(std::string_view request, milliseconds timeout, on_answer handler);

    const address& peer() const { return m_peer; }

private:
    struct connection;

    std::shared_ptr<connection> takeIdle();
    void open(const std::shared_ptr<connection>& target);
    void finish(connection& which, std::optional<http_answer> answer, bool reusable);

    event_loop& m_loop;
    address m_peer;
    std::map<const connection*, std::shared_ptr<connection>> m_connections;
    // Calls that ended are dropped when the loop comes round, not inside their own handlers.
    std::vector<std::shared_ptr<connection>> m_ended;
};

} // namespace sagesaddle
