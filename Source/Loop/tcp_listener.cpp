#include "Loop/tcp_listener.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <stdexcept>

namespace sagesaddle {

namespace {

// Connections that the kernel queues while the loop is busy. After the loss of a zone, many callers connect
// at once.
constexpr int backlog = 1024;

sockaddr_in socketAddress(const address& where)
{
    sockaddr_in value {};
    value.sin_family = AF_INET;
    value.sin_port = htons(where.port);
    if (inet_pton(AF_INET, where.ip.c_str(), &value.sin_addr) != 1)
        throw std::runtime_error("cannot listen on '" + where.ip + "': not an IPv4 address");
    return value;
}

} // namespace

tcp_listener::tcp_listener(event_loop& loop, const address& where, on_accept handler)
    : m_handler(std::move(handler))
{
    sockaddr_in value = socketAddress(where);
    m_listener.reset(evconnlistener_new_bind(
        loop.native(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
            static_cast<tcp_listener*>(context)->m_handler(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog,
        reinterpret_cast<sockaddr*>(&value), sizeof(value)));
    if (!m_listener)
        throw std::runtime_error("cannot listen on " + formatAddress(where) + ": " + std::strerror(errno)
            + "; choose a free address in the settings");
}

std::uint16_t tcp_listener::port() const
{
    sockaddr_in value {};
    socklen_t size = sizeof(value);
    getsockname(evconnlistener_get_fd(m_listener.get()), reinterpret_cast<sockaddr*>(&value), &size);
    return ntohs(value.sin_port);
}

} // namespace sagesaddle
