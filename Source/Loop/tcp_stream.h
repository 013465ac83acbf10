#pragma once

#include "Base/address.h"
#include "Loop/event_loop.h"

#include <cstddef>
#include <event2/bufferevent.h>
#include <string_view>

namespace sagesaddle {

/// \brief Why a stream ended.
enum class stream_end {
    /// The peer closed in order.
    Closed,
    /// Reset, refused, unreachable or timed out.
    Broken,
};

/// \brief A TCP connection on the loop, buffered both ways.
///
/// Handlers may destroy the stream that calls them.
class tcp_stream {
public:
    struct handlers {
        std::function<void()> onConnected;
        std::function<void()> onReadable;
        std::function<void()> onDrained;
        std::function<void(stream_end)> onEnd;
    };

    /// Takes over an accepted socket.
    tcp_stream(event_loop& loop, evutil_socket_t socket);
    /// Starts to connect; onConnected or onEnd follows.
    /// \param silence how long sent bytes may stay unacknowledged before the connection counts as broken
    tcp_stream(event_loop& loop, const address& peer, milliseconds silence);
    ~tcp_stream();

    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    void setHandlers(handlers value);

    /// \return what came and was not consumed, in one piece.
    std::string_view readable();
    void consume(std::size_t bytes);
    void write(std::string_view bytes);
    std::size_t unwritten() const;
    /// \return whether bytes came that the loop did not hand over yet, as after a process stood still.
    bool hasIncoming() const;

    /// Stops or resumes reading from the socket, so that a slow reader downstream holds the peer back.
    void setReadPaused(bool paused);

private:
    static void onRead(bufferevent* source, void* context);
    static void onWrite(bufferevent* source, void* context);
    static void onEvent(bufferevent* source, short what, void* context);

    struct stream_deleter {
        void operator()(bufferevent* value) const { bufferevent_free(value); }
    };

    std::unique_ptr<bufferevent, stream_deleter> m_stream;
    handlers m_handlers;
};

} // namespace sagesaddle
