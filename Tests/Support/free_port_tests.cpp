#include "Support/free_port.h"

#include <array>
#include <cstdint>
#include <doctest/doctest.h>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

using namespace sagesaddle::testing;

TEST_CASE("free port: tests that run at once never get the same one")
{
    constexpr int processes = 4;
    constexpr int portsOfEach = 200;
    std::array<int, 2> ports {};
    std::array<int, 2> stay {};
    REQUIRE(::pipe(ports.data()) == 0);
    REQUIRE(::pipe(stay.data()) == 0);
    std::array<pid_t, processes> children {};
    for (auto& child : children) {
        child = ::fork();
        REQUIRE(child >= 0);
        if (child != 0)
            continue;
        ::close(stay[1]);
        for (int index = 0; index < portsOfEach; ++index) {
            const std::uint16_t port = freeAddress().port;
            if (::write(ports[1], &port, sizeof port) != sizeof port)
                ::_exit(1);
        }
        // A port is free again once its process ends.
        char none = 0;
        ::_exit(::read(stay[0], &none, 1) == 0 ? 0 : 1);
    }
    std::set<std::uint16_t> given;
    for (int index = 0; index < processes * portsOfEach; ++index) {
        std::uint16_t port = 0;
        REQUIRE(::read(ports[0], &port, sizeof port) == sizeof port);
        CHECK(given.insert(port).second);
    }
    ::close(stay[1]);
    for (const pid_t child : children) {
        int status = 0;
        CHECK(::waitpid(child, &status, 0) == child);
        CHECK(status == 0);
    }
    for (const int descriptor : { ports[0], ports[1], stay[0] })
        ::close(descriptor);
}
