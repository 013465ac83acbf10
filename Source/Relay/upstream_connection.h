#pragma once

#include "Base/address.h"
#include "Loop/http_reader.h"
#include "Loop/tcp_stream.h"
#include "Loop/timer.h"

#include <list>

namespace sagesaddle {

/// \brief What the user of an upstream link is told.
struct upstream_connection_handlers {
    std::function<void()> onConnected;
    std::function<void(http_head)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    /// The link broke or its answer was no HTTP.
    std::function<void()> onBroken;
};

/// \brief One connection to an upstream, used by one request at a time.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    upstream_connection(
        event_loop& loop, const address& peer, std::function<void(upstream_connection&)> onIdleEnd);

    /// Hands the link to a request.
    void attach(upstream_connection_handlers user);
    /// Takes the link from its request, whose answer was whole.
    void detach();

    void write(std::string_view bytes) { m_stream->write(bytes); }
    bool hasUnwritten() const { return m_stream->unwritten() > 0; }
    void pauseReading(bool paused) { m_stream->pauseReading(paused); }
    bool isConnected() const { return m_connected; }
    /// \return whether it may be used again: whole answer, kept alive, nothing behind it.
    bool isReusable();
    /// Cuts the connection.
    void close();

    monotonic_time idleSince() const { return m_idleSince; }
    milliseconds idleLimit() const { return m_idleLimit; }

private:
    void read();
    void end(stream_end how);
    void tellEnd();
    void learnIdleLimit(const http_head& head);

    std::unique_ptr<tcp_stream> m_stream;
    std::unique_ptr<http_reader> m_reader;
    upstream_connection_handlers m_user;
    std::function<void(upstream_connection&)> m_onIdleEnd;
    bool m_inUse { false };
    bool m_connected { false };
    bool m_keepsAlive { true };
    bool m_closed { false };
    bool m_answerEnded { false };
    monotonic_time m_idleSince {};
    milliseconds m_idleLimit;
};

using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

/// \brief The kept connections to one upstream.
class upstream_pool {
public:
    upstream_pool(event_loop& loop, address peer);
    ~upstream_pool();

    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// \return the link that was used last, or a new one that is still connecting.
    /// \param fresh asks for a new connection, for what must not meet a connection that is about to close
    upstream_connection_ptr acquire(bool fresh);

    /// Gives a link back; it is kept where it may be used again and closed otherwise.
    void release(const upstream_connection_ptr& link);

private:
    void drop(upstream_connection& link);

    event_loop& m_loop;
    address m_peer;
    std::list<upstream_connection_ptr> m_idle;
};

} // namespace sagesaddle
