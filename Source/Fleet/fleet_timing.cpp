#include "Fleet/fleet_timing.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// The coordinator's time for each gateway's report, a fiftieth of which it uses: an answer costs it some 60
// us.
constexpr milliseconds pauseForEach { 3 };
constexpr milliseconds shortestPause { 100 };
constexpr milliseconds leastPauseForEach { 2 };
constexpr milliseconds shortestLeastPause { 10 };
// Beyond a missed report: the way, a resend of a lost packet and a busy processor.
constexpr milliseconds newsReserve { 500 };
constexpr milliseconds shortestSilence { 1500 };
constexpr milliseconds heardReserve { 600 };
// Age of the evidence when it is told: the coordinator's read waits up to 400 ms.
constexpr milliseconds proofReserve { 800 };
constexpr milliseconds shortestProof { 1500 };
// Reads of the lease by the whole fleet, while no coordinator is heard: some 150 a second at most.
constexpr milliseconds leasePauseForEach { 7 };
constexpr milliseconds shortestLeasePause { 300 };

} // namespace

fleet_timing fleetTimingFor(unsigned gateways)
{
    const auto count = static_cast<std::int64_t>(std::max(gateways, 1U));
    fleet_timing timing;
    timing.reportInterval = std::max(shortestPause, pauseForEach * count);
    timing.minReportInterval = std::max(shortestLeastPause, leastPauseForEach * count);
    timing.coordinatorTimeout = newsReserve + timing.reportInterval;
    timing.gatewayExpiry = std::max(shortestSilence, timing.reportInterval * 3);
    timing.maxReportAge = timing.reportInterval + heardReserve;
    timing.maxConfirmationAge = std::max(shortestProof, timing.reportInterval * 2 + proofReserve);
    timing.leaseReadInterval = std::max(shortestLeasePause, leasePauseForEach * count);
    return timing;
}

} // namespace sagesaddle
