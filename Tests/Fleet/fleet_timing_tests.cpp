#include "Fleet/fleet_timing.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr unsigned fleetSizes[] = { 1, 4, 29, 103, 350 };

} // namespace

TEST_CASE("fleet timing: a healthy gateway is never considered gone, at any size")
{
    for (const unsigned gateways : fleetSizes) {
        const fleet_timing timing = fleetTimingFor(gateways);
        // The retransmission of a lost packet delays a report.
        constexpr milliseconds delay { 400 };
        CHECK(timing.gatewayExpiry >= timing.reportInterval + delay);
        CHECK(timing.maxReportAge >= timing.reportInterval + delay);
        CHECK(timing.coordinatorTimeout >= timing.reportInterval + delay);
        CHECK(timing.maxConfirmationAge >= timing.reportInterval + delay + milliseconds(400));
    }
}

TEST_CASE("fleet timing: the coordinator answers a bounded number of full reports a second, at any size")
{
    for (const unsigned gateways : fleetSizes) {
        const fleet_timing timing = fleetTimingFor(gateways);
        CHECK(1000.0 * gateways / static_cast<double>(timing.reportInterval.count()) <= 340);
        CHECK(1000.0 * gateways / static_cast<double>(timing.minReportInterval.count()) <= 700);
    }
}

TEST_CASE("fleet timing: confirmations of the configuration arrive well before API keys are refused")
{
    // Withdrawn keys must stop working within 5 s of the acknowledgement, and keys are refused if the
    // confirmation is older than 4.3 s.
    for (const unsigned gateways : fleetSizes)
        CHECK(fleetTimingFor(gateways).maxConfirmationAge + fleetTimingFor(gateways).coordinatorTimeout
            < milliseconds(4600));
}

TEST_CASE("fleet timing: gateways without a coordinator read the store a bounded number of times a second")
{
    for (const unsigned gateways : fleetSizes)
        CHECK(1000.0 * gateways / static_cast<double>(fleetTimingFor(gateways).leaseReadInterval.count())
            <= 150);
}
