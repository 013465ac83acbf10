#include "Loop/tcp_stream.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <new>
#include <stdexcept>
#include <sys/socket.h>

namespace sagesaddle {

namespace {

// Most that libevent reads from a socket at once; far larger than an event of a stream.
constexpr std::size_t maxSingleReadBytes = 16384;

void disableSendDelay(evutil_socket_t socket)
{
    const int isOn = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
}

evutil_socket_t openSocket(milliseconds ackTimeout)
{
    const evutil_socket_t socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return socket;
    disableSendDelay(socket);
    const unsigned int timeoutMilliseconds = static_cast<unsigned int>(ackTimeout.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMilliseconds, sizeof(timeoutMilliseconds));
    const int isOn = 1;
    const int idleSeconds = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &isOn, sizeof(isOn));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &idleSeconds, sizeof(idleSeconds));
    return socket;
}

} // namespace

tcp_stream::tcp_stream(event_loop& loop, evutil_socket_t socket)
    : m_stream(bufferevent_socket_new(loop.native(), socket, BEV_OPT_CLOSE_ON_FREE))
{
    if (!m_stream)
        throw std::runtime_error("tcp stream: cannot allocate the buffers of an accepted connection");
    disableSendDelay(socket);
    bufferevent_set_max_single_read(m_stream.get(), maxSingleReadBytes);
}

tcp_stream::tcp_stream(event_loop& loop, const address& peer, milliseconds ackTimeout)
    : m_stream(bufferevent_socket_new(loop.native(), openSocket(ackTimeout), BEV_OPT_CLOSE_ON_FREE))
{
    if (!m_stream)
        throw std::runtime_error(
            "tcp stream: cannot allocate the buffers of a connection to " + formatAddress(peer));
    bufferevent_set_max_single_read(m_stream.get(), maxSingleReadBytes);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(peer.port);
    if (inet_pton(AF_INET, peer.ip.c_str(), &target.sin_addr) != 1)
        throw std::runtime_error("tcp stream: '" + peer.ip + "' is not an IPv4 address");
    bufferevent_setcb(m_stream.get(), onRead, onWrite, onEvent, this);
    // A failure that the call itself sees is reported through onEvent, too.
    bufferevent_socket_connect(m_stream.get(), reinterpret_cast<sockaddr*>(&target), sizeof(target));
}

tcp_stream::~tcp_stream()
{
    bufferevent_setcb(m_stream.get(), nullptr, nullptr, nullptr, nullptr);
}

void tcp_stream::setHandlers(handlers value)
{
    m_handlers = std::move(value);
    m_isReadPaused = false;
    bufferevent_setcb(m_stream.get(), onRead, onWrite, onEvent, this);
    bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
}

void tcp_stream::close()
{
    m_handlers = {};
    bufferevent_setcb(m_stream.get(), nullptr, nullptr, nullptr, nullptr);
    const evutil_socket_t socket = bufferevent_getfd(m_stream.get());
    if (socket < 0)
        return;
    // Removes the socket's events, too.
    bufferevent_setfd(m_stream.get(), -1);
    evutil_closesocket(socket);
}

std::string_view tcp_stream::readable()
{
    evbuffer* input = bufferevent_get_input(m_stream.get());
    const std::size_t size = evbuffer_get_length(input);
    if (size == 0)
        return {};
    return { reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size))), size };
}

void tcp_stream::consume(std::size_t bytes)
{
    evbuffer_drain(bufferevent_get_input(m_stream.get()), bytes);
    if (m_isFull && unread() < m_maxUnread) {
        m_isFull = false;
        updateReading();
    }
}

void tcp_stream::write(std::string_view bytes)
{
    bufferevent_write(m_stream.get(), bytes.data(), bytes.size());
    m_writtenBytes += bytes.size();
}

void tcp_stream::write(std::string_view bytes, std::shared_ptr<const void> owner)
{
    if (bytes.empty())
        return;
    auto kept = std::make_unique<std::shared_ptr<const void>>(std::move(owner));
    const auto release = [](const void*, std::size_t, void* context) {
        delete static_cast<std::shared_ptr<const void>*>(context);
    };
    if (evbuffer_add_reference(
            bufferevent_get_output(m_stream.get()), bytes.data(), bytes.size(), release, kept.get())
        != 0)
        throw std::bad_alloc();
    static_cast<void>(kept.release());
    m_writtenBytes += bytes.size();
}

std::size_t tcp_stream::unwritten() const
{
    return evbuffer_get_length(bufferevent_get_output(m_stream.get()));
}

std::size_t tcp_stream::unread() const
{
    return evbuffer_get_length(bufferevent_get_input(m_stream.get()));
}

bool tcp_stream::hasIncoming() const
{
    if (evbuffer_get_length(bufferevent_get_input(m_stream.get())) > 0)
        return true;
    char next = 0;
    return ::recv(bufferevent_getfd(m_stream.get()), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0;
}

void tcp_stream::setReadPaused(bool paused)
{
    m_isReadPaused = paused;
    updateReading();
}

void tcp_stream::updateReading()
{
    if (m_isReadPaused || m_isFull)
        bufferevent_disable(m_stream.get(), EV_READ);
    else
        bufferevent_enable(m_stream.get(), EV_READ);
}

void tcp_stream::onRead(bufferevent*, void* context)
{
    auto* self = static_cast<tcp_stream*>(context);
    // The high watermark of libevent would call this handler again and again while the bytes are not
    // consumed.
    if (self->m_maxUnread > 0 && self->unread() >= self->m_maxUnread) {
        self->m_isFull = true;
        self->updateReading();
    }
    // A copy, since the handler may destroy the stream and its handlers.
    const auto handler = self->m_handlers.onReadable;
    if (handler)
        handler();
}

void tcp_stream::onWrite(bufferevent*, void* context)
{
    const auto handler = static_cast<tcp_stream*>(context)->m_handlers.onAllWritten;
    if (handler)
        handler();
}

void tcp_stream::onEvent(bufferevent*, short what, void* context)
{
    auto* self = static_cast<tcp_stream*>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        const auto handler = self->m_handlers.onConnected;
        if (handler)
            handler();
        return;
    }
    const auto handler = self->m_handlers.onEnd;
    if (handler)
        handler((what & BEV_EVENT_EOF) != 0 ? stream_end::Closed : stream_end::Broken);
}

} // namespace sagesaddle
