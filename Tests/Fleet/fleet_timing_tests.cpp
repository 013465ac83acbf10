#include "Fleet/fleet_timing.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr unsigned sizes[] = { 1, 4, 29, 103, 350 };

} // namespace

TEST_CASE("fleet pace: a sound gateway is never taken for a silent one, at any size")
{
    for (const unsigned gateways : sizes) {
        const fleet_timing timing = fleetTimingFor(gateways);
        // A report may be late by a resend of a lost packet.
        constexpr milliseconds late { 400 };
        CHECK(timing.gatewayExpiry >= timing.reportInterval + late);
        CHECK(timing.maxReportAge >= timing.reportInterval + late);
        CHECK(timing.coordinatorTimeout >= timing.reportInterval + late);
        CHECK(timing.maxConfirmationAge >= timing.reportInterval + late + milliseconds(400));
    }
}

TEST_CASE("fleet pace: the coordinator answers a bounded number of whole reports a second, at any size")
{
    for (const unsigned gateways : sizes) {
        const fleet_timing timing = fleetTimingFor(gateways);
        CHECK(1000.0 * gateways / static_cast<double>(timing.reportInterval.count()) <= 340);
        CHECK(1000.0 * gateways / static_cast<double>(timing.minReportInterval.count()) <= 700);
    }
}

TEST_CASE("fleet pace: evidence of the configuration is told well within the time in which keys must stop")
{
    // Keys must stop within 5 s of the acknowledgement, and are not used on evidence older than 4.3 s.
    for (const unsigned gateways : sizes)
        CHECK(fleetTimingFor(gateways).maxConfirmationAge + fleetTimingFor(gateways).coordinatorTimeout
            < milliseconds(4600));
}

TEST_CASE("fleet pace: gateways without a coordinator ask the store a bounded number of times a second")
{
    for (const unsigned gateways : sizes)
        CHECK(1000.0 * gateways / static_cast<double>(fleetTimingFor(gateways).leaseReadInterval.count())
            <= 150);
}
