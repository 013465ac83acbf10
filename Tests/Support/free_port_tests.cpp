#include "Support/free_port.h"

#include <array>
#include <cstdint>
#include <doctest/doctest.h>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

using namespace sagesaddle::testing;

TEST_CASE("free port: test processes that run at the same time never get the same port")
{
    constexpr int processCount = 4;
    constexpr int portsPerProcess = 200;
    std::array<int, 2> ports {};
    std::array<int, 2> exitSignal {};
    REQUIRE(::pipe(ports.data()) == 0);
    REQUIRE(::pipe(exitSignal.data()) == 0);
    std::array<pid_t, processCount> children {};
    for (auto& child : children) {
        child = ::fork();
        REQUIRE(child >= 0);
        if (child != 0)
            continue;
        ::close(exitSignal[1]);
        for (int index = 0; index < portsPerProcess; ++index) {
            const std::uint16_t port = freeAddress().port;
            if (::write(ports[1], &port, sizeof port) != sizeof port)
                ::_exit(1);
        }
        // A port is free again once its process ends, so each child waits until the parent has read all.
        char unused = 0;
        ::_exit(::read(exitSignal[0], &unused, 1) == 0 ? 0 : 1);
    }
    std::set<std::uint16_t> distinctPorts;
    for (int index = 0; index < processCount * portsPerProcess; ++index) {
        std::uint16_t port = 0;
        REQUIRE(::read(ports[0], &port, sizeof port) == sizeof port);
        CHECK(distinctPorts.insert(port).second);
    }
    ::close(exitSignal[1]);
    for (const pid_t child : children) {
        int status = 0;
        CHECK(::waitpid(child, &status, 0) == child);
        CHECK(status == 0);
    }
    for (const int descriptor : { ports[0], ports[1], exitSignal[0] })
        ::close(descriptor);
}
