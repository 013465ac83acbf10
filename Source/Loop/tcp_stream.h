#pragma once

#include "Base/address.h"
#include "Loop/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <event2/bufferevent.h>
#include <memory>
#include <string_view>

namespace sagesaddle {

/// \brief Why a TCP connection ended.
enum class stream_end {
    /// Closed by the peer without an error.
    Closed,
    /// Reset, refused, unreachable or timed out.
    Broken,
};

/// \brief A TCP connection on the event loop, with buffers for both directions.
///
/// Handlers may destroy the stream that calls them.
class tcp_stream {
public:
    /// \brief Handlers of a stream; empty ones are not called.
    struct handlers {
        /// The connection is established; only for streams that connect.
        std::function<void()> onConnected;
        /// Bytes were received.
        std::function<void()> onReadable;
        /// All bytes that were written have been handed to the system.
        std::function<void()> onAllWritten;
        /// The connection ended.
        std::function<void(stream_end)> onEnd;
    };

    /// Takes ownership of an accepted socket.
    tcp_stream(event_loop& loop, evutil_socket_t socket);
    /// Starts to connect; onConnected or onEnd follows.
    /// \param ackTimeout time for which sent bytes may stay unacknowledged before the connection counts as
    /// broken
    /// \throws std::runtime_error if the address is not an IPv4 address
    tcp_stream(event_loop& loop, const address& peer, milliseconds ackTimeout);
    ~tcp_stream();

    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    /// Sets the handlers and enables reading.
    void setHandlers(handlers value);
    /// Closes the socket; no handler is called after that. For streams that cannot be destroyed yet, since
    /// one of the handlers of their owner may be running: an open one would go on buffering what the peer
    /// sends.
    void close();

    /// \return the bytes that were received and not consumed, in one piece; valid until bytes are
    /// consumed or the loop reads more.
    std::string_view readable();
    /// Removes bytes from the front of readable().
    void consume(std::size_t bytes);
    /// Buffers a copy of the bytes and sends it when the socket allows.
    void write(std::string_view bytes);
    /// Sends bytes without copying them, as for large bodies.
    /// \param owner keeps the bytes valid and unchanged; released once they were sent or the stream is
    /// destroyed
    void write(std::string_view bytes, std::shared_ptr<const void> owner);
    /// \return the number of buffered bytes that were not yet handed to the system.
    std::size_t unwritten() const;
    /// \return the number of written bytes that were handed to the system since the start.
    std::uint64_t handedOver() const { return m_writtenBytes - unwritten(); }
    /// \return the number of bytes that were received and not consumed.
    std::size_t unread() const;
    /// \return whether bytes were received that are not consumed, including those that the loop has not read
    /// yet, as after the process was suspended.
    bool hasIncoming() const;

    /// Stops or resumes reading from the socket, so that TCP flow control slows the peer down where the bytes
    /// cannot be passed on as fast.
    void setReadPaused(bool paused);
    /// Pauses reading from the socket by itself while at least this many received bytes are not consumed.
    void limitUnread(std::size_t bytes) { m_maxUnread = bytes; }

private:
    void updateReading();
    static void onRead(bufferevent* source, void* context);
    static void onWrite(bufferevent* source, void* context);
    static void onEvent(bufferevent* source, short what, void* context);

    struct stream_deleter {
        void operator()(bufferevent* value) const { bufferevent_free(value); }
    };

    std::unique_ptr<bufferevent, stream_deleter> m_stream;
    handlers m_handlers;
    std::uint64_t m_writtenBytes { 0 };
    /// Unread bytes from which on reading is paused; 0 for no limit.
    std::size_t m_maxUnread { 0 };
    bool m_isReadPaused { false };
    /// Whether reading is paused because of m_maxUnread.
    bool m_isFull { false };
};

} // namespace sagesaddle
