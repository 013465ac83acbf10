#include "Fleet/lease_outlasting.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

constexpr milliseconds maxReportAge { 700 };
/// The store answers nobody, and all gateways have reported so.
constexpr store_silence silentForAll { true, true, true, maxReportAge };

/// \return a coordinator that held the lease until `start`.
lease_outlasting holderUntilStart()
{
    lease_outlasting outlasting;
    outlasting.onLeaseHeld(start);
    return outlasting;
}

} // namespace

// Guards against a fleet without credit while the store answers nobody.
TEST_CASE("lease outlasting: a coordinator goes on while the store answers no gateway, and stops for good")
{
    auto outlasting = holderUntilStart();
    for (int step = 1; step <= 200; ++step)
        CHECK(outlasting.mayGoOn(silentForAll, start + milliseconds(50 * step)));
    store_silence silence = silentForAll;
    SUBCASE("when the store answers it")
    {
        silence.isOwnStoreSilent = false;
    }
    SUBCASE("when another gateway reports an answer")
    {
        silence.isSilentForAll = false;
    }
    SUBCASE("when a gateway falls silent")
    {
        silence.hearsAllGateways = silence.isSilentForAll = false;
    }
    CHECK_FALSE(outlasting.mayGoOn(silence, start + milliseconds(10050)));
    CHECK_FALSE(outlasting.mayGoOn(silentForAll, start + milliseconds(10100)));
}

// Guards against a stop since a gateway had an answer right before the store fell silent.
TEST_CASE("lease outlasting: reports of the store's answers count once they are newer than the lease's end")
{
    auto outlasting = holderUntilStart();
    store_silence silence { true, true, false, maxReportAge };
    for (const int at : { 50, 350, 650 })
        CHECK(outlasting.mayGoOn(silence, start + milliseconds(at)));
    SUBCASE("a gateway that goes on reporting them reaches the store")
    {
        CHECK_FALSE(outlasting.mayGoOn(silence, start + maxReportAge));
    }
    SUBCASE("all gateways report its silence in time")
    {
        CHECK(outlasting.mayGoOn(silentForAll, start + maxReportAge));
    }
    SUBCASE("a gateway that falls silent may acquire the lease")
    {
        silence.hearsAllGateways = false;
        CHECK_FALSE(outlasting.mayGoOn(silence, start + milliseconds(660)));
    }
}

// Guards against two coordinators after the host of one was suspended.
TEST_CASE("lease outlasting: a process that was suspended, or never held the lease, does not go on")
{
    CHECK_FALSE(holderUntilStart().mayGoOn(silentForAll, start + seconds(5)));
    CHECK_FALSE(lease_outlasting().mayGoOn(silentForAll, start));
    auto outlasting = holderUntilStart();
    REQUIRE(outlasting.mayGoOn(silentForAll, start + milliseconds(50)));
    CHECK_FALSE(outlasting.mayGoOn(silentForAll, start + seconds(5)));
}
