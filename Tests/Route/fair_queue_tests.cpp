#include "Route/fair_queue.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

#include <map>

using namespace sagesaddle;

namespace {

using testing::start;

queued_request requestOf(std::uint64_t ticket, const std::string& team, double tokens,
    priority of = priority::Interactive, monotonic_time deadline = start + seconds(3600))
{
    return { ticket, team, of, tokens, start, deadline };
}

/// Starts and finishes requests one after the other.
/// \param runTime time that each request takes
/// \return the tokens served, by team
std::map<std::string, double> serveInTurn(fair_queue& queue, int requests, milliseconds runTime)
{
    std::map<std::string, double> served;
    monotonic_time now = start;
    for (int count = 0; count < requests; ++count) {
        const auto next = queue.startNext(now);
        if (!next)
            break;
        served[next->team] += next->tokens;
        now += runTime;
        queue.finish(next->ticket, now);
    }
    return served;
}

} // namespace

TEST_CASE("fair queue: teams get equal shares in tokens, however many requests each sends")
{
    fair_queue queue({ 1, 10000, 0.1 });
    std::uint64_t ticket = 0;
    for (int request = 0; request < 200; ++request)
        CHECK(queue.offer(requestOf(++ticket, "large", 100), start).accepted);
    for (int request = 0; request < 50; ++request)
        CHECK(queue.offer(requestOf(++ticket, "small", 100), start).accepted);
    const auto served = serveInTurn(queue, 60, milliseconds(0));
    CHECK(served.at("large") == served.at("small"));
}

TEST_CASE("fair queue: batch gets its share and no more while interactive requests wait")
{
    fair_queue queue({ 1, 10000, 0.2 });
    for (std::uint64_t ticket = 1; ticket <= 200; ++ticket)
        queue.offer(
            requestOf(ticket, "team", 10, ticket % 2 ? priority::Interactive : priority::Batch), start);
    int batch = 0;
    for (int count = 0; count < 50; ++count) {
        const auto next = queue.startNext(start);
        batch += next->priority == priority::Batch ? 1 : 0;
        queue.finish(next->ticket, start);
    }
    CHECK(batch == 10);
}

TEST_CASE("fair queue: no more requests run than there are slots")
{
    fair_queue queue({ 2, 10, 0.1 });
    for (std::uint64_t ticket = 1; ticket <= 3; ++ticket)
        queue.offer(requestOf(ticket, "team", 10), start);
    CHECK(queue.startNext(start));
    CHECK(queue.startNext(start));
    CHECK_FALSE(queue.startNext(start));
    queue.finish(1, start);
    CHECK(queue.startNext(start)->ticket == 3);
    CHECK(queue.running() == 2);
}

TEST_CASE("fair queue: a request that cannot meet its deadline is rejected with a retry time")
{
    fair_queue queue({ 1, 100, 0.1 });
    for (std::uint64_t ticket = 1; ticket <= 4; ++ticket)
        queue.offer(requestOf(ticket, "team", 100), start);
    serveInTurn(queue, 1, seconds(1));
    const monotonic_time now = start + seconds(1);
    REQUIRE(queue.startNext(now));
    const auto decision
        = queue.offer(requestOf(10, "team", 100, priority::Interactive, now + seconds(2)), now);
    CHECK_FALSE(decision.accepted);
    CHECK(decision.reason == "deadline");
    CHECK(decision.retryAfterMs == 2000);
    CHECK(queue.offer(requestOf(11, "team", 100, priority::Interactive, now + seconds(5)), now).accepted);
}

TEST_CASE("fair queue: a waiting request is dropped as soon as it can no longer meet its deadline")
{
    fair_queue queue({ 1, 100, 0.1 });
    queue.offer(requestOf(1, "team", 100), start);
    serveInTurn(queue, 1, seconds(1));
    const monotonic_time now = start + seconds(1);
    queue.offer(requestOf(2, "team", 100), now);
    REQUIRE(queue.startNext(now));
    queue.offer(requestOf(3, "team", 100, priority::Interactive, now + milliseconds(2500)), now);
    CHECK(queue.takeExpired(now + seconds(1)).empty());
    const auto expired = queue.takeExpired(now + milliseconds(1500));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].ticket == 3);
    CHECK(queue.waiting() == 0);
}

TEST_CASE("fair queue: an idle upstream is tried again however slow it was")
{
    fair_queue queue({ 1, 100, 0.1 });
    queue.offer(requestOf(1, "team", 100), start);
    serveInTurn(queue, 1, seconds(60));
    const monotonic_time now = start + seconds(60);
    CHECK(queue.offer(requestOf(2, "team", 100, priority::Interactive, now + seconds(1)), now).accepted);
}

namespace {

/// Runs requests of 40 tokens at the same time.
/// \param runTime time that each request takes
/// \return the time at which they end
monotonic_time serveTogether(fair_queue& queue, std::uint64_t count, milliseconds runTime, monotonic_time now)
{
    for (std::uint64_t ticket = 1; ticket <= count; ++ticket)
        queue.offer(requestOf(ticket, "team", 40), now);
    for (std::uint64_t started = 0; started < count; ++started)
        REQUIRE(queue.startNext(now));
    for (std::uint64_t ticket = 1; ticket <= count; ++ticket)
        queue.finish(ticket, now + runTime);
    return now + runTime;
}

} // namespace

TEST_CASE("fair queue: after a pause of the upstream, requests that it can serve are accepted at once")
{
    fair_queue queue({ 8, 100, 0.1 });
    monotonic_time now = start;
    for (int round = 0; round < 3; ++round)
        now = serveTogether(queue, 8, milliseconds(400), now);
    now = serveTogether(queue, 8, seconds(5), now);
    for (std::uint64_t ticket = 1; ticket <= 16; ++ticket) {
        const auto decision = queue.offer(
            requestOf(ticket, "team", 40, priority::Interactive, now + milliseconds(2500)), now);
        CHECK(decision.accepted);
        queue.startNext(now);
    }
    CHECK(queue.expectedWait(priority::Interactive, now) <= milliseconds(800));
    CHECK(queue.takeExpired(now + seconds(2)).empty());
}

TEST_CASE("fair queue: a free slot is tried if one of the latest requests was fast enough")
{
    fair_queue queue({ 8, 100, 0.1 });
    monotonic_time now = serveTogether(queue, 1, milliseconds(400), start);
    now = serveTogether(queue, 8, seconds(5), now);
    queue.offer(requestOf(1, "team", 40), now);
    REQUIRE(queue.startNext(now));
    CHECK(
        queue.offer(requestOf(2, "team", 40, priority::Interactive, now + milliseconds(500)), now).accepted);
    queue.remove(2);
    CHECK_FALSE(
        queue.offer(requestOf(3, "team", 40, priority::Interactive, now + milliseconds(300)), now).accepted);
}

TEST_CASE("fair queue: an abandoned request frees its slot and does not change the estimates")
{
    fair_queue queue({ 1, 100, 0.1 });
    monotonic_time now = serveTogether(queue, 1, milliseconds(400), start);
    for (std::uint64_t ticket = 2; ticket <= 20; ++ticket) {
        queue.offer(requestOf(ticket, "team", 40), now);
        REQUIRE(queue.startNext(now));
        now += seconds(5);
        queue.abandon(ticket);
    }
    queue.offer(requestOf(21, "team", 40), now);
    REQUIRE(queue.startNext(now));
    CHECK(queue.expectedWait(priority::Interactive, now) == milliseconds(400));
}

TEST_CASE("fair queue: a full queue rejects requests")
{
    fair_queue queue({ 1, 1, 0.1 });
    CHECK(queue.offer(requestOf(1, "team", 1), start).accepted);
    CHECK(queue.offer(requestOf(2, "team", 1), start).reason == "queue_full");
}

TEST_CASE("fair queue: a removed request is never started")
{
    fair_queue queue({ 1, 10, 0.1 });
    queue.offer(requestOf(1, "team", 1), start);
    queue.offer(requestOf(2, "team", 1), start);
    queue.remove(1);
    CHECK(queue.startNext(start)->ticket == 2);
    CHECK(queue.waiting() == 0);
}
