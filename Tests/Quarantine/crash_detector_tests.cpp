#include "Quarantine/crash_detector.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using testing::at;

namespace {

const upstream_process process { "u1", 7 };

} // namespace

TEST_CASE("crash detector: an upstream that is silent after its connections broke has crashed")
{
    crash_detector tested;
    tested.onConnectionBroken(process, { 5 }, at(0));
    tested.onConnectionBroken(process, { 9, 3 }, at(2));
    tested.onConnectionBroken(process, { 5 }, at(40));
    REQUIRE(tested.nextDueAt());
    CHECK(tested.takeCrashes(at(20)).empty());
    const auto crashes = tested.takeCrashes(*tested.nextDueAt());
    CHECK(crashes == std::vector<upstream_crash> { { process, at(0), { 3, 5, 9 } } });
    CHECK_FALSE(tested.nextDueAt());
    CHECK(tested.takeCrashes(at(5000)).empty());
}

TEST_CASE("crash detector: an upstream that goes on sending has only lost a connection")
{
    crash_detector tested;
    tested.onConnectionBroken(process, { 5 }, at(0));
    tested.onActivity("u1", at(60));
    CHECK(tested.takeCrashes(at(5000)).empty());
}

TEST_CASE("crash detector: an upstream that accepts a new connection has only lost one")
{
    crash_detector tested;
    tested.onConnectionBroken(process, { 5 }, at(0));
    tested.onConnectionAccepted("u1");
    CHECK(tested.takeCrashes(at(5000)).empty());
}

TEST_CASE("crash detector: bytes that were sent before the crash and are read right after it prove no life")
{
    crash_detector tested;
    tested.onConnectionBroken(process, { 5 }, at(0));
    tested.onActivity("u1", at(1));
    tested.onActivity("u2", at(60));
    CHECK(tested.takeCrashes(at(5000)).size() == 1);
}

TEST_CASE("crash detector: an answer that was long under way adds no part to the crash")
{
    crash_detector tested;
    tested.onConnectionBroken(process, {}, at(0));
    const auto crashes = tested.takeCrashes(at(5000));
    REQUIRE(crashes.size() == 1);
    CHECK(crashes.front().parts.empty());
}

TEST_CASE("crash detector: the next process of an upstream is another one")
{
    crash_detector tested;
    tested.onConnectionBroken(process, { 5 }, at(0));
    tested.onConnectionBroken({ "u1", 8 }, { 6 }, at(100));
    CHECK(tested.takeCrashes(at(200)).empty());
    CHECK(tested.takeCrashes(at(5000)) == std::vector<upstream_crash> { { { "u1", 8 }, at(100), { 6 } } });
}

TEST_CASE("crash detector: memory is bounded, however many upstreams and parts are involved")
{
    crash_detector tested;
    std::vector<std::uint64_t> parts;
    for (std::uint64_t part = 0; part < 5000; ++part)
        parts.push_back(part);
    for (int upstream = 0; upstream < 5000; ++upstream)
        tested.onConnectionBroken({ "u" + std::to_string(upstream), 1 },
            upstream == 0 ? parts : std::vector<std::uint64_t>(), at(0));
    const auto crashes = tested.takeCrashes(at(5000));
    CHECK(crashes.size() <= 1024);
    for (const auto& crash : crashes)
        CHECK(crash.parts.size() <= 512);
}
