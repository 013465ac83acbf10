#include "Agree/freshness_tracker.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr milliseconds maxStateAge { 2000 };

using testing::at;

std::map<std::string, entry_config> entries(std::initializer_list<const char*> names)
{
    std::map<std::string, entry_config> result;
    for (const char* name : names)
        result[name].name = name;
    return result;
}

const auto threeEntries = entries({ "a", "b", "c" });

// The status of a peer that cannot reach the log and read it long ago.
peer_log_status withoutLog(std::uint64_t nextOffset)
{
    return { nextOffset, milliseconds(60000), true };
}

} // namespace

TEST_CASE("freshness: an own read of the log confirms the state as of when it was sent")
{
    freshness_tracker tracker("a", maxStateAge);
    CHECK_FALSE(tracker.evaluate(at(0), 5, threeEntries).isFresh);
    tracker.onLogRead(at(0));
    CHECK(tracker.evaluate(at(2000), 5, threeEntries) == freshness { true, milliseconds(2000), false });
    CHECK_FALSE(tracker.evaluate(at(2001), 5, threeEntries).isFresh);
}

TEST_CASE("freshness: a peer's read counts with its age, once its records were received")
{
    freshness_tracker tracker("a", maxStateAge);
    tracker.onLogFailure();
    tracker.onPeerAnswer("b", at(0), { 6, milliseconds(500), false });
    CHECK_FALSE(tracker.evaluate(at(100), 5, threeEntries).isFresh);
    CHECK(tracker.evaluate(at(100), 6, threeEntries).age == milliseconds(600));
    CHECK(tracker.evaluate(at(1500), 6, threeEntries).isFresh);
    CHECK_FALSE(tracker.evaluate(at(1501), 6, threeEntries).isFresh);
}

TEST_CASE("freshness: a majority of the listed entries that cannot reach the log confirms the state")
{
    freshness_tracker tracker("a", maxStateAge);
    tracker.onLogFailure();
    CHECK_FALSE(tracker.evaluate(at(0), 5, threeEntries).isFresh);
    tracker.onPeerAnswer("x", at(0), withoutLog(5));
    CHECK_FALSE(tracker.evaluate(at(0), 5, threeEntries).isFresh);
    tracker.onPeerAnswer("b", at(0), withoutLog(5));
    CHECK(tracker.evaluate(at(2000), 5, threeEntries).isFresh);
    CHECK_FALSE(tracker.evaluate(at(2001), 5, threeEntries).isFresh);
}

TEST_CASE("freshness: a majority confirms nothing while a listed peer has more records")
{
    freshness_tracker tracker("a", maxStateAge);
    tracker.onLogFailure();
    tracker.onPeerAnswer("b", at(0), withoutLog(5));
    tracker.onPeerAnswer("c", at(0), { 6, milliseconds(60000), false });
    CHECK_FALSE(tracker.evaluate(at(0), 5, threeEntries).isFresh);
    CHECK(tracker.evaluate(at(0), 6, threeEntries).isFresh);
}

TEST_CASE("freshness: without the log, an isolated entry of two is not fresh, a single entry is")
{
    freshness_tracker tracker("a", maxStateAge);
    tracker.onLogFailure();
    CHECK_FALSE(tracker.evaluate(at(0), 5, entries({ "a", "b" })).isFresh);
    CHECK(tracker.evaluate(at(0), 5, entries({ "a" })).isFresh);
    CHECK_FALSE(tracker.evaluate(at(0), 5, {}).isFresh);
}

TEST_CASE("freshness: a read after a failure ends the outage")
{
    freshness_tracker tracker("a", maxStateAge);
    tracker.onLogFailure();
    CHECK(tracker.isLogUnreachable(at(0)));
    tracker.onLogRead(at(10));
    CHECK_FALSE(tracker.isLogUnreachable(at(10)));
    CHECK(tracker.isLogUnreachable(at(2011)));
}
