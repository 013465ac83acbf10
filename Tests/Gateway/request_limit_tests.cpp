#include "Gateway/platform_checks.h"
#include "Gateway/request_limit_rule.h"

#include <algorithm>

using namespace sagesaddle;

namespace {

using rule = request_limit_rule;

/// \return the largest number of arrivals in a window that ends between `from` and `until`.
std::size_t mostArrivals(const engine_stand_in& upstream, monotonic_time from, seconds window = rule::window,
    monotonic_time until = monotonic_time::max())
{
    std::size_t most = 0;
    for (const auto& [end, id] : upstream.arrivals) {
        if (end < from || end > until)
            continue;
        const auto inWindow = std::count_if(
            upstream.arrivals.begin(), upstream.arrivals.end(), [&, last = end](const auto& arrival) {
                return arrival.first <= last && arrival.first > last - window;
            });
        most = std::max(most, static_cast<std::size_t>(inWindow));
    }
    return most;
}

/// Sends requests to all running gateways in turn, at a constant rate.
void sendFor(platform_fixture& fixture, const std::string& path, milliseconds duration, milliseconds pause)
{
    const monotonic_time end = monotonicNow() + duration;
    for (std::size_t next = 0; monotonicNow() < end; ++next) {
        const auto& gateway = fixture.gateways.at(next % fixture.gateways.size());
        if (gateway.process->isRunning())
            fixture.send(gateway, path);
        loopFor(fixture.loop, pause);
    }
}

/// \return the first gateway that coordinates, or that does not.
platform_fixture::gateway_process& findGateway(platform_fixture& fixture, bool coordinates)
{
    const auto found = std::find_if(fixture.gateways.begin(), fixture.gateways.end(),
        [&](const platform_fixture::gateway_process& gateway) {
            return (fixture.outputOf(gateway).find("duty_taken") != std::string::npos) == coordinates;
        });
    REQUIRE(found != fixture.gateways.end());
    return *found;
}

std::size_t countStatus(const platform_fixture& fixture, int status)
{
    return static_cast<std::size_t>(std::count_if(fixture.attempts.begin(), fixture.attempts.end(),
        [&](const auto& attempt) { return attempt.caller->status() == status; }));
}

} // namespace

TEST_CASE("gateway: an upstream that states a request limit gets no more than it from all gateways together")
{
    constexpr double limit = 1.5;
    platform_fixture fixture;
    startPlatform(fixture, 4);
    auto& limited = fixture.engines.at(2);
    auto& other = fixture.addEngine({ "l2", "ledger" });
    sendFor(fixture, "/safe/", milliseconds(1000), milliseconds(50));
    const monotonic_time statedAt = monotonicNow();
    limited.requestLimit = limit;
    const std::size_t earlier = limited.arrivals.size();
    sendFor(fixture, "/safe/", milliseconds(9000), milliseconds(50));
    CHECK(mostArrivals(limited, statedAt + rule::grace) <= rule::allowedInWindow(limit));
    CHECK(limited.arrivals.size() > earlier);
    // The other upstream takes the rest.
    CHECK(countStatus(fixture, 503) == 0);
    CHECK(other.arrivals.size() > limited.arrivals.size());
    checkNoViolations(fixture);
}

TEST_CASE("gateway: a request limit that an upstream states holds when the coordinator is killed")
{
    constexpr double limit = 4;
    platform_fixture fixture;
    startPlatform(fixture, 3);
    auto& limited = fixture.engines.at(2);
    limited.requestLimit = limit;
    const monotonic_time statedAt = monotonicNow();
    // No other upstream takes the requests, so that all gateways want the whole limit.
    sendFor(fixture, "/safe/", milliseconds(5000), milliseconds(25));
    findGateway(fixture, true).process->kill();
    const std::size_t earlier = limited.arrivals.size();
    sendFor(fixture, "/safe/", milliseconds(8000), milliseconds(25));
    CHECK(mostArrivals(limited, statedAt + rule::grace) <= rule::allowedInWindow(limit));
    // The others use the limit once the successor grants it.
    CHECK(static_cast<double>(limited.arrivals.size() - earlier) >= limit * 4);
    checkNoViolations(fixture);
}

TEST_CASE("gateway: an upstream whose limit ends gets as many requests as before")
{
    platform_fixture fixture;
    startPlatform(fixture, 2);
    auto& limited = fixture.engines.at(2);
    limited.requestLimit = 2;
    sendFor(fixture, "/safe/", milliseconds(2000), milliseconds(50));
    limited.requestLimit.reset();
    // The next answer without a limit ends it for all gateways.
    REQUIRE(loopUntil(fixture.loop, [&] {
        sendFor(fixture, "/safe/", milliseconds(400), milliseconds(50));
        return std::all_of(fixture.gateways.begin(), fixture.gateways.end(), [&](const auto& gateway) {
            return fixture.outputOf(gateway).find("\"limited\":false") != std::string::npos;
        });
    }));
    const std::size_t before = limited.arrivals.size();
    sendFor(fixture, "/safe/", milliseconds(1000), milliseconds(50));
    CHECK(limited.arrivals.size() - before >= 15);
    checkNoViolations(fixture);
}

TEST_CASE("gateway: a cold upstream gets no more than its limit from its start on, also when the coordinator "
          "is killed, and is not left idle")
{
    constexpr double limit = 12;
    constexpr milliseconds coldTime { 5000 };
    platform_fixture fixture;
    fixture.coldPerSecond = limit;
    startPlatform(fixture, 3);
    auto& warm = fixture.engines.at(2);
    warm.isDraining = true;
    fixture.publishListing(warm);
    engine_stand_in::settings settings { "l2", "ledger" };
    settings.coldTime = coldTime;
    const monotonic_time startedAt = monotonicNow();
    auto& cold = fixture.addEngine(settings);
    sendFor(fixture, "/safe/", coldTime / 2, milliseconds(15));
    const std::size_t earlier = cold.arrivals.size();
    // It is known after less than a second.
    CHECK(static_cast<double>(earlier) >= limit);
    findGateway(fixture, true).process->kill();
    sendFor(fixture, "/safe/", coldTime / 2, milliseconds(15));
    CHECK(mostArrivals(cold, startedAt, cold_limit_rule::window, startedAt + coldTime)
        <= cold_limit_rule::allowedInWindow(limit));
    CHECK(cold.arrivals.size() > earlier);
    // The limit ends by itself: nobody renews the entry.
    const std::size_t whileCold = cold.arrivals.size();
    sendFor(fixture, "/safe/", milliseconds(2000), milliseconds(15));
    CHECK(
        static_cast<double>(cold.arrivals.size() - whileCold) > 2 * cold_limit_rule::allowedInWindow(limit));
    checkNoViolations(fixture);
}

TEST_CASE("gateway: an upstream that turns cold in use gets no more than its limit, also from a gateway that "
          "stood still meanwhile, and warm ones are preferred")
{
    constexpr double limit = 12;
    platform_fixture fixture;
    fixture.coldPerSecond = limit;
    startPlatform(fixture, 3);
    // Of two idle upstreams the first one is chosen.
    auto& turning = fixture.engines.at(2);
    auto& warm = fixture.addEngine({ "l2", "ledger" });
    sendFor(fixture, "/safe/", milliseconds(2000), milliseconds(15));
    CHECK(static_cast<double>(turning.arrivals.size()) > limit);
    auto& frozen = *findGateway(fixture, false).process;
    frozen.freeze();
    const monotonic_time turnedAt = monotonicNow();
    turning.coldUntil = turnedAt + seconds(6);
    fixture.publishListing(turning);
    sendFor(fixture, "/safe/", cold_limit_rule::known, milliseconds(15));
    const std::size_t earlier = turning.arrivals.size();
    sendFor(fixture, "/safe/", milliseconds(500), milliseconds(15));
    // Requests have waited for it, and it has not read that the upstream turned cold.
    frozen.wake();
    sendFor(fixture, "/safe/", milliseconds(1000), milliseconds(15));
    CHECK(turning.arrivals.size() == earlier);
    CHECK(countStatus(fixture, 503) == 0);
    // Without the warm one there is work for it.
    warm.isDraining = true;
    fixture.publishListing(warm);
    sendFor(fixture, "/safe/", milliseconds(3400), milliseconds(15));
    CHECK(static_cast<double>(turning.arrivals.size() - earlier) >= limit);
    CHECK(mostArrivals(turning, turnedAt + cold_limit_rule::known + cold_limit_rule::window,
              cold_limit_rule::window, turnedAt + seconds(6))
        <= cold_limit_rule::allowedInWindow(limit));
    checkNoViolations(fixture);
}
