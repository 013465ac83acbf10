#include "Route/failure_ratio.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using testing::at;

TEST_CASE("fault share: comes near an upstream's part of failed answers and fades while it gets none")
{
    failure_ratio share;
    std::int64_t now = 0;
    for (int answer = 0; answer < 100; ++answer)
        share.onOutcome(answer % 5 < 2, at(now += 20));
    CHECK(share.value(at(now)) > 0.25);
    CHECK(share.value(at(now)) < 0.55);
    CHECK(share.value(at(now + 2000)) < share.value(at(now)) * 0.51);
    CHECK(share.value(at(now + 20000)) < 0.01);
}

TEST_CASE("fault share: one fault alone does not condemn an upstream")
{
    failure_ratio share;
    share.onOutcome(true, at(0));
    CHECK(share.value(at(0)) < 0.2);
    CHECK(failure_ratio().value(at(0)) == 0);
}
