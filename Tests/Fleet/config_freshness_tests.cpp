#include "Fleet/config_freshness.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

TEST_CASE("contact clock: keys are not used before the configuration was proven")
{
    const config_freshness clock(seconds(4));
    CHECK_FALSE(clock.mayAcceptApiKeys(monotonic_time(seconds(100))));
}

TEST_CASE("contact clock: evidence dates from the sending of the read and lapses")
{
    config_freshness clock(seconds(4));
    const monotonic_time sentAt(seconds(100));
    clock.onConfigConfirmed(sentAt);
    CHECK(clock.mayAcceptApiKeys(sentAt + milliseconds(3999)));
    CHECK_FALSE(clock.mayAcceptApiKeys(sentAt + seconds(4)));
    CHECK(clock.age(sentAt + seconds(1)) == monotonic_span(seconds(1)));
}

TEST_CASE("contact clock: another bound holds for the evidence at hand")
{
    config_freshness clock(seconds(4));
    clock.onConfigConfirmed(monotonic_time(seconds(100)));
    clock.setMaxConfigAge(seconds(2));
    CHECK(clock.mayAcceptApiKeys(monotonic_time(milliseconds(101999))));
    CHECK_FALSE(clock.mayAcceptApiKeys(monotonic_time(seconds(102))));
}

TEST_CASE("contact clock: an answer that comes late does not make the evidence older")
{
    config_freshness clock(seconds(4));
    clock.onConfigConfirmed(monotonic_time(seconds(100)));
    clock.onConfigConfirmed(monotonic_time(seconds(98)));
    CHECK(clock.mayAcceptApiKeys(monotonic_time(milliseconds(103500))));
}
