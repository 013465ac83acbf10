#include "Agree/freshness_judge.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr milliseconds freshFor { 2000 };

using testing::at;

std::map<std::string, entry_config> entries(std::initializer_list<const char*> names)
{
    std::map<std::string, entry_config> result;
    for (const char* name : names)
        result[name].name = name;
    return result;
}

const auto three = entries({ "a", "b", "c" });

peer_evidence away(std::uint64_t next)
{
    return { next, milliseconds(60000), true };
}

} // namespace

TEST_CASE("freshness: an own read lasts from when it was sent")
{
    freshness_judge judge("a", freshFor);
    CHECK_FALSE(judge.judge(at(0), 5, three).fresh);
    judge.onLogRead(at(0));
    CHECK(judge.judge(at(2000), 5, three) == freshness { true, milliseconds(2000), false });
    CHECK_FALSE(judge.judge(at(2001), 5, three).fresh);
}

TEST_CASE("freshness: a peer's read counts with its age, once its records are held")
{
    freshness_judge judge("a", freshFor);
    judge.onLogFailure();
    judge.onPeer("b", at(0), { 6, milliseconds(500), false });
    CHECK_FALSE(judge.judge(at(100), 5, three).fresh);
    CHECK(judge.judge(at(100), 6, three).age == milliseconds(600));
    CHECK(judge.judge(at(1500), 6, three).fresh);
    CHECK_FALSE(judge.judge(at(1501), 6, three).fresh);
}

TEST_CASE("freshness: a majority of the listed entries from which the log is away")
{
    freshness_judge judge("a", freshFor);
    judge.onLogFailure();
    CHECK_FALSE(judge.judge(at(0), 5, three).fresh);
    judge.onPeer("x", at(0), away(5));
    CHECK_FALSE(judge.judge(at(0), 5, three).fresh);
    judge.onPeer("b", at(0), away(5));
    CHECK(judge.judge(at(2000), 5, three).fresh);
    CHECK_FALSE(judge.judge(at(2001), 5, three).fresh);
}

TEST_CASE("freshness: a majority is no evidence while one of its members holds more")
{
    freshness_judge judge("a", freshFor);
    judge.onLogFailure();
    judge.onPeer("b", at(0), away(5));
    judge.onPeer("c", at(0), { 6, milliseconds(60000), false });
    CHECK_FALSE(judge.judge(at(0), 5, three).fresh);
    CHECK(judge.judge(at(0), 6, three).fresh);
}

TEST_CASE("freshness: of two entries the one that hears nobody stops, a single one goes on")
{
    freshness_judge judge("a", freshFor);
    judge.onLogFailure();
    CHECK_FALSE(judge.judge(at(0), 5, entries({ "a", "b" })).fresh);
    CHECK(judge.judge(at(0), 5, entries({ "a" })).fresh);
    CHECK_FALSE(judge.judge(at(0), 5, {}).fresh);
}

TEST_CASE("freshness: a read after a failure ends the outage")
{
    freshness_judge judge("a", freshFor);
    judge.onLogFailure();
    CHECK(judge.isLogAway(at(0)));
    judge.onLogRead(at(10));
    CHECK_FALSE(judge.isLogAway(at(10)));
    CHECK(judge.isLogAway(at(2011)));
}
