#include "Support/free_port.h"

#include "Base/scope_guard.h"

#include <arpa/inet.h>
#include <cerrno>
#include <mutex>
#include <set>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace sagesaddle::testing {

namespace {

std::uint16_t takeFreePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const scope_guard close([descriptor] { ::close(descriptor); });
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof name;
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&name), size) != 0
        || ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &size) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot take a free loopback port");
    return ntohs(name.sin_port);
}

} // namespace

address freeAddress()
{
    static std::mutex mutex;
    static std::set<std::uint16_t> given;
    const std::lock_guard lock(mutex);
    std::uint16_t port = takeFreePort();
    while (!given.insert(port).second)
        port = takeFreePort();
    return { "127.0.0.1", port };
}

} // namespace sagesaddle::testing
