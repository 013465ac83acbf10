#include "Agree/freshness_tracker.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr milliseconds maxStateAge { 2000 };

using testing::at;

std::map<std::string, entry_host> entries(std::initializer_list<const char*> names)
{
    std::map<std::string, entry_host> result;
    for (const char* name : names)
        result[name].name = name;
    return result;
}

const auto three = entries({ "a", "b", "c" });

peer_log_status away(std::uint64_t next)
{
    return { next, milliseconds(60000), true };
}

} // namespace

TEST_CASE("freshness: an own read lasts from when it was sent")
{
    freshness_tracker judge("a", maxStateAge);
    CHECK_FALSE(judge.judge(at(0), 5, three).fresh);
    judge.onLogRead(at(0));
    CHECK(judge.judge(at(2000), 5, three) == freshness { true, milliseconds(2000), false });
    CHECK_FALSE(judge.judge(at(2001), 5, three).fresh);
}

TEST_CASE("freshness: a peer's read counts with its age, once its records are held")
{
    freshness_tracker judge("a", maxStateAge);
    judge.onLogFailure();
    judge.onPeer("b", at(0), { 6, milliseconds(500), false });
    CHECK_FALSE(judge.judge(at(100), 5, three).fresh);
    CHECK(judge.judge(at(100), 6, three).age == milliseconds(600));
    CHECK(judge.judge(at(1500), 6, three).fresh);
    CHECK_FALSE(judge.judge(at(1501), 6, three).fresh);
}

TEST_CASE("freshness: a majority of the listed entries from which the log is away")
{
    freshness_tracker judge("a", maxStateAge);
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
    freshness_tracker judge("a", maxStateAge);
    judge.onLogFailure();
    judge.onPeer("b", at(0), away(5));
    judge.onPeer("c", at(0), { 6, milliseconds(60000), false });
    CHECK_FALSE(judge.judge(at(0), 5, three).fresh);
    CHECK(judge.judge(at(0), 6, three).fresh);
}

TEST_CASE("freshness: of two entries the one that hears nobody stops, a single one goes on")
{
    freshness_tracker judge("a", maxStateAge);
    judge.onLogFailure();
    CHECK_FALSE(judge.judge(at(0), 5, entries({ "a", "b" })).fresh);
    CHECK(judge.judge(at(0), 5, entries({ "a" })).fresh);
    CHECK_FALSE(judge.judge(at(0), 5, {}).fresh);
}

TEST_CASE("freshness: a read after a failure ends the outage")
{
    freshness_tracker judge("a", maxStateAge);
    judge.onLogFailure();
    CHECK(judge.isLogUnreachable(at(0)));
    judge.onLogRead(at(10));
    CHECK_FALSE(judge.isLogUnreachable(at(10)));
    CHECK(judge.isLogUnreachable(at(2011)));
}
