#include "Fleet/fleet_timing.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Handling a report takes the coordinator about 60 us, so the reports of all gateways use a fiftieth of a
// core.
constexpr milliseconds reportIntervalPerGateway { 3 };
constexpr milliseconds reportIntervalFloor { 100 };
constexpr milliseconds minReportIntervalPerGateway { 2 };
constexpr milliseconds minReportIntervalFloor { 10 };
// Beyond one report interval: network delay, the retransmission of a lost packet and a busy CPU.
constexpr milliseconds coordinatorTimeoutReserve { 500 };
constexpr milliseconds gatewayExpiryFloor { 1500 };
constexpr milliseconds reportAgeReserve { 600 };
// A confirmation has an age when it is sent: the coordinator's read of the store waits up to 400 ms.
constexpr milliseconds confirmationAgeReserve { 800 };
constexpr milliseconds confirmationAgeFloor { 1500 };
// Limits the lease reads of the whole fleet to about 150 a second while there is no coordinator.
constexpr milliseconds leaseReadIntervalPerGateway { 7 };
constexpr milliseconds leaseReadIntervalFloor { 300 };

} // namespace

fleet_timing fleetTimingFor(unsigned gateways)
{
    const auto count = static_cast<std::int64_t>(std::max(gateways, 1U));
    fleet_timing timing;
    timing.reportInterval = std::max(reportIntervalFloor, reportIntervalPerGateway * count);
    timing.minReportInterval = std::max(minReportIntervalFloor, minReportIntervalPerGateway * count);
    timing.coordinatorTimeout = coordinatorTimeoutReserve + timing.reportInterval;
    timing.gatewayExpiry = std::max(gatewayExpiryFloor, timing.reportInterval * 3);
    timing.maxReportAge = timing.reportInterval + reportAgeReserve;
    timing.maxConfirmationAge
        = std::max(confirmationAgeFloor, timing.reportInterval * 2 + confirmationAgeReserve);
    timing.leaseReadInterval = std::max(leaseReadIntervalFloor, leaseReadIntervalPerGateway * count);
    return timing;
}

} // namespace sagesaddle
