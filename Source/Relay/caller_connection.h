#pragma once

#include "Loop/http_reader.h"
#include "Loop/tcp_stream.h"
#include "Loop/timer.h"
#include "Relay/caller_memory.h"
#include "Relay/refusal_reason.h"

#include <memory>
#include <optional>

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

    /// \brief Sends an answer whose body is complete.
    void sendAnswer(int status, const std::vector<http_field>& fields, std::string_view body);
    /// \brief Begins an answer of unknown length, which is sent in chunks.
    void beginChunkedAnswer(int status, const std::vector<http_field>& fields, std::string_view firstBytes);
    /// \brief Sends the next chunk, and pauses the upstream while the caller reads too slowly.
    void sendBody(std::string_view bytes);
    /// \brief Ends a chunked answer.
    void endBody();
    /// \brief Closes the connection in the middle of an answer, so that the answer does not look complete.
    void abortAnswer();

    /// \return the memory that the connection holds, as of the last update.
    const caller_account& account() const { return m_account; }
    /// \brief Replaces the account by what the connection holds now.
    void updateAccount(caller_memory& memory);
    /// \brief Has the relay update the account, after something grew.
    void noteHeldBytes();
    /// \return whether the connection reads no more requests, because one was refused before it was complete
    /// or the connection was closed.
    bool isRefusedOrClosed() const { return m_refusedEarly || m_closed; }
    /// \brief Reads no further bytes of a request until resumeReading() is called.
    /// \return whether that was not the case before
    bool pauseReading();
    void resumeReading();
    bool isReadPaused() const { return m_isReadPaused && !m_closed; }
    /// \brief Pauses the upstream if a part of its answer is not read by the caller.
    void holdBackAnswer();
    /// \brief Refuses the request of the connection or closes it, to release its memory.
    void shed(caller_memory_action action);

    /// \return bytes of answers that are not written to the socket yet.
    std::size_t unwritten() const { return m_stream->unwritten(); }

    /// \brief Reads the bytes that arrived while the previous request was being answered.
    void readPending() { read(); }

    /// \brief Closes the connection if it is idle, to make room for another caller.
    /// \return whether the connection was closed
    bool closeIfIdle();
    /// \return whether no request is being read or answered.
    bool isIdle() const { return !m_exchange && !m_reader->isInMessage() && !m_closesWhenWritten; }
    /// \return when the last answer ended, or when the connection was accepted.
    monotonic_time idleSince() const { return m_idleSince; }

private:
    void read();
    void onHead(http_head head);
    void onRequest();
    void onWritten();
    void onDisconnected();
    /// Refuses a request that was not read completely; its rest is discarded, and the connection is closed
    /// once the caller had time to read the refusal.
    void refuseEarly(refusal_reason reason, std::optional<milliseconds> retryAfter = {});
    void refuseEarly(const refusal_response& response, std::optional<milliseconds> retryAfter);
    void onBody(std::string_view bytes);
    void onTimeout();
    /// \return whether no further request is read until the caller has read the answers before it.
    bool hasUnreadAnswers() const;
    void endExchange();
    caller_stage stage() const;
    std::size_t heldBytes() const;
    void finishAnswer();
    void appendHead(std::string& out, int status, const std::vector<http_field>& fields) const;
    /// \param reason value of the log field `by`; a line is written only if a request or answer is lost
    void close(std::string_view reason);

    relay& m_owner;
    /// \return how much longer the idle connection may stay open under the current configuration.
    monotonic_duration idleTimeLeft() const;

    std::unique_ptr<tcp_stream> m_stream;
    std::unique_ptr<http_reader> m_reader;
    timer m_timeoutTimer;
    http_head m_head;
    /// Memory of the head, from when it is complete until the end of the answer.
    std::size_t m_headHeldBytes { 0 };
    std::string m_body;
    std::size_t m_bodyBytes { 0 };
    /// Why no upstream can get the request; its body is then not kept.
    std::optional<refusal_reason> m_refusal;
    caller_account m_account;
    /// Bytes of requests that were read.
    std::uint64_t m_consumedBytes { 0 };
    std::uint64_t m_consumedAtTimeout { 0 };
    monotonic_time m_refusedAt {};
    /// Bytes in both directions when m_account.progressAt was set.
    std::uint64_t m_movedAtProgress { 0 };
    /// Bytes of answers that were written when the idle time began.
    std::uint64_t m_handedOverAtIdle { 0 };
    monotonic_time m_arrivedAt {};
    monotonic_time m_idleSince { monotonicNow() };
    std::shared_ptr<relay_exchange> m_exchange;
    bool m_keepsAlive { true };
    bool m_isHeadRequest { false };
    bool m_isChunked { false };
    bool m_closesWhenWritten { false };
    bool m_refusedEarly { false };
    bool m_isReadPaused { false };
    bool m_closed { false };
};

} // namespace sagesaddle
