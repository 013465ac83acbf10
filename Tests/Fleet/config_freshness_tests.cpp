#include "Fleet/config_freshness.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

TEST_CASE("config freshness: API keys are refused until the configuration was confirmed")
{
    const config_freshness freshness(seconds(4));
    CHECK_FALSE(freshness.mayAcceptApiKeys(monotonic_time(seconds(100))));
}

TEST_CASE("config freshness: a confirmation counts from the sending of the read and expires")
{
    config_freshness freshness(seconds(4));
    const monotonic_time sentAt(seconds(100));
    freshness.onConfigConfirmed(sentAt);
    CHECK(freshness.mayAcceptApiKeys(sentAt + milliseconds(3999)));
    CHECK_FALSE(freshness.mayAcceptApiKeys(sentAt + seconds(4)));
    CHECK(freshness.age(sentAt + seconds(1)) == monotonic_duration(seconds(1)));
}

TEST_CASE("config freshness: a new bound applies to the existing confirmation")
{
    config_freshness freshness(seconds(4));
    freshness.onConfigConfirmed(monotonic_time(seconds(100)));
    freshness.setMaxConfigAge(seconds(2));
    CHECK(freshness.mayAcceptApiKeys(monotonic_time(milliseconds(101999))));
    CHECK_FALSE(freshness.mayAcceptApiKeys(monotonic_time(seconds(102))));
}

TEST_CASE("config freshness: a late answer to an earlier read does not make the confirmation older")
{
    config_freshness freshness(seconds(4));
    freshness.onConfigConfirmed(monotonic_time(seconds(100)));
    freshness.onConfigConfirmed(monotonic_time(seconds(98)));
    CHECK(freshness.mayAcceptApiKeys(monotonic_time(milliseconds(103500))));
}
