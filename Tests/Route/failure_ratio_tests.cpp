#include "Route/failure_ratio.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using testing::at;

TEST_CASE("failure ratio: approaches the part of answers that failed, and decays without answers")
{
    failure_ratio ratio;
    std::int64_t now = 0;
    for (int answer = 0; answer < 100; ++answer)
        ratio.onOutcome(answer % 5 < 2, at(now += 20));
    CHECK(ratio.value(at(now)) > 0.25);
    CHECK(ratio.value(at(now)) < 0.55);
    CHECK(ratio.value(at(now + 2000)) < ratio.value(at(now)) * 0.51);
    CHECK(ratio.value(at(now + 20000)) < 0.01);
}

TEST_CASE("failure ratio: a single failure changes it little")
{
    failure_ratio ratio;
    ratio.onOutcome(true, at(0));
    CHECK(ratio.value(at(0)) < 0.2);
    CHECK(failure_ratio().value(at(0)) == 0);
}
