#pragma once

#include "Base/address.h"
#include "Loop/http_reader.h"
#include "Loop/tcp_stream.h"
#include "Loop/timer.h"

#include <list>

namespace sagesaddle {

/// \brief Events of an upstream connection, for the request that is attached to it.
struct upstream_connection_handlers {
    std::function<void()> onConnected;
    std::function<void(http_head)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    /// The connection broke, or the answer was not valid HTTP.
    std::function<void()> onBroken;
};

/// \brief One connection to an upstream, used by one request at a time.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    /// \param onIdleClosed called when the peer closes the connection, or sends bytes, with no request
    /// attached
    upstream_connection(
        event_loop& loop, const address& peer, std::function<void(upstream_connection&)> onIdleClosed);

    /// \brief Attaches a request, whose handlers are called from now on.
    void attach(upstream_connection_handlers handlers);
    /// \brief Detaches the request after its answer was complete.
    void detach();

    void write(std::string_view bytes) { m_stream->write(bytes); }
    /// \brief Sends bytes without copying them; the owner keeps them valid until then.
    void write(std::string_view bytes, std::shared_ptr<const void> owner)
    {
        m_stream->write(bytes, std::move(owner));
    }
    bool hasUnwritten() const { return m_stream->unwritten() > 0; }
    void pauseReading(bool paused) { m_stream->setReadPaused(paused); }
    bool isConnected() const { return m_connected; }
    /// \return whether another request may use the connection: the answer was complete, the peer keeps the
    /// connection alive, and nothing is left to read or write.
    bool isReusable();
    /// \brief Closes the connection; no handler is called after that.
    void close();

    /// \return when the last request was detached.
    monotonic_time idleSince() const { return m_idleSince; }
    /// \return idle time after which the connection must not be used again.
    milliseconds idleLimit() const { return m_idleLimit; }

private:
    void read();
    void onStreamEnd(stream_end reason);
    /// Calls onEnd once the answer is complete.
    void notifyEnd();
    void updateIdleLimit(const http_head& head);

    std::unique_ptr<tcp_stream> m_stream;
    std::unique_ptr<http_reader> m_reader;
    upstream_connection_handlers m_handlers;
    std::function<void(upstream_connection&)> m_onIdleClosed;
    bool m_inUse { false };
    bool m_connected { false };
    bool m_keepsAlive { true };
    bool m_closed { false };
    bool m_answerEnded { false };
    monotonic_time m_idleSince {};
    milliseconds m_idleLimit;
};

using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

/// \brief Pool of idle connections to one upstream.
class upstream_pool {
public:
    upstream_pool(event_loop& loop, address peer);
    ~upstream_pool();

    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// \param fresh whether to open a new connection, for a request that must not be sent on an idle one that
    /// the upstream may be closing
    /// \return the idle connection that was used last, or a new one that is still connecting
    upstream_connection_ptr acquire(bool fresh);

    /// \brief Returns a connection to the pool; one that cannot be used again is closed.
    /// \param maxIdle maximum number of idle connections; those idle longest are closed beyond it
    void release(const upstream_connection_ptr& connection, std::size_t maxIdle);

private:
    void remove(upstream_connection& connection);

    event_loop& m_loop;
    address m_peer;
    std::list<upstream_connection_ptr> m_idle;
};

} // namespace sagesaddle
