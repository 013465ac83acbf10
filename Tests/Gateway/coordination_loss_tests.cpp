#include "Gateway/platform_checks.h"

#include <algorithm>
#include <set>

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
/// \return the number of requests that got another status
std::ptrdiff_t countRefused(
    platform_fixture& fixture, milliseconds duration, const std::set<int>& allowed = { 200 })
{
    const std::size_t first = fixture.attempts.size();
    const monotonic_time end = monotonicNow() + duration;
    for (std::size_t next = 0; monotonicNow() < end; ++next) {
        fixture.send(fixture.gateways.at(next % fixture.gateways.size()), "/safe/");
        loopFor(fixture.loop, requestPause);
    }
    const auto begin = fixture.attempts.begin() + static_cast<std::ptrdiff_t>(first);
    return std::count_if(begin, fixture.attempts.end(), [&](const auto& attempt) {
        if (fixture.waitEnd(attempt) && allowed.contains(attempt.caller->status()))
            return false;
        MESSAGE(attempt.id << " was refused: " << attempt.caller->text());
        return true;
    });
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
    fixture.store.mode = store_stand_in::behaviour::Sound;
    // A new term begins with half of the burst, so that a team near its limit may be over it for a moment.
    CHECK(countRefused(fixture, milliseconds(2000), { 200, 429 }) == 0);
    CHECK_FALSE(hasLine(fixture, "limit_unknown"));
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

// Guards against the refusal of requests that arrive before a restarted fleet has a coordinator.
TEST_CASE(
    "gateway: after all gateways were killed and started again, requests that arrive at once are answered")
{
    platform_fixture fixture;
    startLimitedPlatform(fixture);
    for (auto& gateway : fixture.gateways)
        gateway.process->kill();
    const std::size_t first = fixture.attempts.size();
    for (auto& gateway : fixture.gateways)
        fixture.start(gateway);
    // Requests before the first configuration are refused for that reason.
    const auto isConfigured = [&](const auto& gateway) {
        const std::string output = fixture.outputOf(gateway);
        const std::size_t startedAt = output.rfind("\"started\"");
        return startedAt != output.find("\"started\"")
            && output.find("config_in_force", startedAt) != std::string::npos;
    };
    std::set<std::string> sentTo;
    REQUIRE(loopUntil(fixture.loop, [&] {
        for (const auto& gateway : fixture.gateways) {
            if (isConfigured(gateway) && sentTo.insert(gateway.name).second) {
                fixture.send(gateway, "/safe/");
                fixture.send(gateway, "/safe/");
            }
        }
        return sentTo.size() == fixture.gateways.size();
    }));
    for (std::size_t index = first; index < fixture.attempts.size(); ++index) {
        REQUIRE(fixture.waitEnd(fixture.attempts.at(index)));
        CHECK(fixture.attempts.at(index).caller->status() == 200);
    }
    CHECK_FALSE(hasLine(fixture, "limit_unknown"));
    checkNoViolations(fixture);
}

// Guards against refusals between the loss of a coordinator and the first grant of its successor.
TEST_CASE("gateway: while the coordinator is lost, requests wait for its successor")
{
    platform_fixture fixture;
    // Shorter than the time until the successor grants credit.
    fixture.objective = milliseconds(300);
    startLimitedPlatform(fixture);
    const auto coordinator
        = std::find_if(fixture.gateways.begin(), fixture.gateways.end(), [&](const auto& gateway) {
              return fixture.outputOf(gateway).find("duty_taken") != std::string::npos;
          });
    REQUIRE(coordinator != fixture.gateways.end());
    coordinator->process->freeze();
    const std::size_t first = fixture.attempts.size();
    for (int round = 0; round < 8; ++round) {
        for (const auto& gateway : fixture.gateways) {
            if (&gateway != &*coordinator)
                fixture.send(gateway, "/safe/");
        }
        loopFor(fixture.loop, requestPause * 2);
    }
    for (std::size_t index = first; index < fixture.attempts.size(); ++index) {
        REQUIRE(fixture.waitEnd(fixture.attempts.at(index)));
        CHECK(fixture.attempts.at(index).caller->status() != 503);
    }
    CHECK_FALSE(hasLine(fixture, "limit_unknown"));
    coordinator->process->wake();
    checkNoViolations(fixture);
}
