#pragma once

#include "Loop/http_reader.h"
#include "Loop/tcp_stream.h"
#include "Loop/timer.h"

#include <memory>

namespace sagesaddle {

class relay_exchange;
class relay;

/// \brief A caller's connection: reads one request at a time and writes its answer.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(relay& owner, evutil_socket_t socket);
    ~caller_connection();

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sends a whole answer.
    void sendAnswer(int status, const std::vector<http_field>& fields, std::string_view body);
    /// Begins an answer whose length is not known.
    void beginChunkedAnswer(int status, const std::vector<http_field>& fields, std::string_view firstBytes);
    void sendBody(std::string_view bytes);
    void endBody();
    /// Ends the answer where it cannot be finished, so that it does not look complete.
    void abortAnswer();

    std::size_t unwritten() const { return m_stream->unwritten(); }

    /// Reads what came while a request was answered.
    void readPending() { read(); }

    /// No further request is taken; an idle connection closes.
    /// \return whether it was closed
    bool drain();
    bool isIdle() const { return !m_exchange && !m_reader->isInMessage() && !m_closesWhenWritten; }
    monotonic_time idleSince() const { return m_idleSince; }

private:
    void read();
    void onHead(http_head head);
    void onRequest();
    void onWritten();
    void onLeft();
    void refuseEarly(int status);
    void finishAnswer();
    void appendHead(std::string& out, int status, const std::vector<http_field>& fields) const;
    /// \param why for the log, where something is lost by it
    void close(std::string_view why);

    relay& m_owner;
    /// \return how long a connection on which nothing comes may stay open yet, by the configuration in force
    /// now.
    monotonic_span idleTimeLeft() const;

    std::unique_ptr<tcp_stream> m_stream;
    std::unique_ptr<http_reader> m_reader;
    timer m_patience;
    http_head m_head;
    std::string m_body;
    monotonic_time m_arrivedAt {};
    monotonic_time m_idleSince { monotonicNow() };
    std::shared_ptr<relay_exchange> m_exchange;
    bool m_keepsAlive { true };
    bool m_isHead { false };
    bool m_isChunked { false };
    bool m_closesWhenWritten { false };
    bool m_refusedEarly { false };
    bool m_closed { false };
};

} // namespace sagesaddle
