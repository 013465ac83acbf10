#include "Base/verdict.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

TEST_CASE("verdict: laterVerdict never moves backwards")
{
    CHECK(laterVerdict(verdict::NotRun, verdict::MayHaveRun) == verdict::MayHaveRun);
    CHECK(laterVerdict(verdict::Answered, verdict::NotRun) == verdict::Answered);
}

TEST_CASE("verdict: every name parses to its verdict, and other names do not parse")
{
    for (verdict value : { verdict::NotRun, verdict::MayHaveRun, verdict::Answered })
        CHECK(parseVerdict(nameOf(value)) == value);
    CHECK_FALSE(parseVerdict("ran"));
}
