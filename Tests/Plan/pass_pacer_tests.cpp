#include "Plan/pass_pacer.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

TEST_CASE("pass pacer: passes take at most their fraction of the time, however long each takes")
{
    pass_pacer pacer(0.02);
    monotonic_time now = monotonic_time {} + seconds(1000);
    const monotonic_time start = now;
    CHECK(pacer.isDue(now));
    milliseconds passTime { 0 };
    for (const int duration : { 1, 40, 0, 200, 5 }) {
        pacer.onPass(now, now + milliseconds(duration));
        passTime += milliseconds(duration);
        while (!pacer.isDue(now))
            now += milliseconds(1);
        CHECK(passTime <= 0.0201 * (now - start));
        CHECK(now - start <= 50 * passTime + milliseconds(5));
    }
}
