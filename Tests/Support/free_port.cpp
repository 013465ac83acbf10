#include "Support/free_port.h"

#include "Base/scope_guard.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <mutex>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/un.h>
#include <system_error>
#include <unistd.h>

namespace sagesaddle::testing {

namespace {

// Below the range of ephemeral ports (Linux: from 32768): an outgoing connection could take a port of that
// range after it was found free here and before the process under test binds it.
constexpr std::uint16_t firstPort = 12000;
constexpr std::uint16_t portCount = 20000;

int openSocket(int family)
{
    const int descriptor = ::socket(family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "cannot open a socket");
    return descriptor;
}

/// Reserves a port among all test processes until this process ends.
/// \return whether no other process had reserved it
bool reserve(std::uint16_t port)
{
    const int reservation = openSocket(AF_UNIX);
    scope_guard close([reservation] { ::close(reservation); });
    sockaddr_un name {};
    name.sun_family = AF_UNIX;
    // A name that begins with a zero byte is in the abstract namespace: it has no file, and the kernel frees
    // it when the process ends.
    const std::string text = "sagesaddle-test-port-" + std::to_string(port);
    std::memcpy(name.sun_path + 1, text.data(), text.size());
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + text.size());
    if (::bind(reservation, reinterpret_cast<const sockaddr*>(&name), size) != 0)
        return false;
    close.dismiss();
    return true;
}

bool isFree(std::uint16_t port)
{
    const int probe = openSocket(AF_INET);
    const scope_guard close([probe] { ::close(probe); });
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return ::bind(probe, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
}

} // namespace

address freeAddress()
{
    static std::mutex mutex;
    // Processes that run at the same time start their search at different ports.
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * 97;
    const std::lock_guard lock(mutex);
    for (int attempt = 0; attempt < portCount; ++attempt) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        if (reserve(port) && isFree(port))
            return { "127.0.0.1", port };
    }
    throw std::runtime_error(
        "all loopback ports for tests (12000 to 31999) are reserved or in use; end the tests that still run");
}

} // namespace sagesaddle::testing
