#include "Gateway/platform_checks.h"

#include <algorithm>

using namespace sagesaddle;

namespace {

// Ten tokens for each request. Without a coordinator a gateway may spend a sixth of this rate, which is less
// than a third of the requests need.
constexpr double rate = 150;
constexpr milliseconds requestPause { 100 };

/// Starts three gateways before a team whose limit is just above its demand.
void startLimitedPlatform(platform_fixture& fixture)
{
    // The store stays silent for longer than the usual bound.
    fixture.revocation = milliseconds(8000);
    startPlatform(fixture, 3);
    fixture.configure({ "key-1" }, rate);
    loopFor(fixture.loop, milliseconds(1500));
}

/// Sends one request after each pause, to all gateways in turn, and waits for their answers.
/// \return the number of requests that were not answered
std::ptrdiff_t countRefused(platform_fixture& fixture, milliseconds duration)
{
    const std::size_t first = fixture.attempts.size();
    const monotonic_time end = monotonicNow() + duration;
    for (std::size_t next = 0; monotonicNow() < end; ++next) {
        fixture.send(fixture.gateways.at(next % fixture.gateways.size()), "/safe/");
        loopFor(fixture.loop, requestPause);
    }
    const auto begin = fixture.attempts.begin() + static_cast<std::ptrdiff_t>(first);
    return std::count_if(begin, fixture.attempts.end(),
        [&](const auto& attempt) { return !fixture.waitEnd(attempt) || attempt.caller->status() != 200; });
}

bool hasLine(const platform_fixture& fixture, const std::string& part)
{
    return std::any_of(fixture.gateways.begin(), fixture.gateways.end(),
        [&](const auto& gateway) { return fixture.outputOf(gateway).find(part) != std::string::npos; });
}

} // namespace

// Guards against a coordinator that stops at the end of its lease while nobody can renew or acquire one.
TEST_CASE("gateway: while the store answers nobody for 4 s, each request is still granted credit")
{
    platform_fixture fixture;
    startLimitedPlatform(fixture);
    // All gateways read this version, so that they have answers of the store from right before its silence.
    fixture.configure({ "key-1" }, rate);
    loopFor(fixture.loop, milliseconds(100));
    fixture.store.mode = store_stand_in::behaviour::Silent;
    CHECK(countRefused(fixture, milliseconds(4000)) == 0);
    // The coordinator held no lease for most of that time, and nobody missed it.
    CHECK(hasLine(fixture, R"("on":true,"lease":false)"));
    CHECK_FALSE(hasLine(fixture, "\"on\":false"));
    checkNoViolations(fixture);
}

// Guards against a coordinator that goes on beside one that took the lease, where only it misses the store.
TEST_CASE("gateway: a coordinator that alone is cut off from the store stops, and another takes the lease")
{
    platform_fixture fixture;
    startLimitedPlatform(fixture);
    const auto coordinator
        = std::find_if(fixture.gateways.begin(), fixture.gateways.end(), [&](const auto& gateway) {
              return fixture.outputOf(gateway).find("duty_taken") != std::string::npos;
          });
    REQUIRE(coordinator != fixture.gateways.end());
    coordinator->storeProxy.setMode(fault_proxy::behaviour::Silent);
    CHECK(loopUntil(fixture.loop, [&] {
        return std::any_of(fixture.gateways.begin(), fixture.gateways.end(), [&](const auto& gateway) {
            return &gateway != &*coordinator
                && fixture.outputOf(gateway).find("duty_taken") != std::string::npos;
        });
    }));
    CHECK(fixture.outputOf(*coordinator).find("\"on\":false") != std::string::npos);
    checkNoViolations(fixture);
}
