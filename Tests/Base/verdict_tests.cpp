#include "Base/verdict.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

TEST_CASE("verdict: it only moves upwards")
{
    CHECK(laterVerdict(verdict::NotRun, verdict::MayHaveRun) == verdict::MayHaveRun);
    CHECK(laterVerdict(verdict::Answered, verdict::NotRun) == verdict::Answered);
}

TEST_CASE("verdict: names are read back, others are not")
{
    for (verdict value : { verdict::NotRun, verdict::MayHaveRun, verdict::Answered })
        CHECK(parseVerdict(nameOf(value)) == value);
    CHECK_FALSE(parseVerdict("ran"));
}
