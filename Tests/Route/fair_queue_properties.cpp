#include "Route/fair_queue.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace sagesaddle;

namespace {

using testing::start;
const std::vector<std::string> teamNames { "t0", "t1", "t2" };

/// \brief Reference model: the state of each request, without any order.
struct reference_queue {
    std::map<std::uint64_t, queued_request> waiting;
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> ended;
};

queued_request anyRequest(std::uint64_t ticket, monotonic_time now)
{
    queued_request request;
    request.ticket = ticket;
    request.team = *rc::gen::elementOf(teamNames);
    request.priority = *rc::gen::element(priority::Interactive, priority::Batch);
    request.tokens = *rc::gen::inRange(1, 500);
    request.arrived = now;
    request.deadline = now + milliseconds(*rc::gen::inRange(1, 20000));
    return request;
}

void startAndCompare(fair_queue& queue, reference_queue& reference, std::uint32_t slots, monotonic_time now)
{
    const auto next = queue.startNext(now);
    RC_ASSERT(next.has_value() == (reference.running.size() < slots && !reference.waiting.empty()));
    if (!next)
        return;
    RC_ASSERT(reference.waiting.erase(next->ticket) == 1);
    reference.running.insert(next->ticket);
}

void randomStep(fair_queue& queue, reference_queue& reference, std::uint64_t ticket, std::uint32_t slots,
    monotonic_time now)
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
    case 1: {
        const queued_request request = anyRequest(ticket, now);
        if (queue.offer(request, now).accepted)
            reference.waiting.emplace(ticket, request);
        break;
    }
    case 2:
    case 3:
        startAndCompare(queue, reference, slots, now);
        break;
    case 4:
        if (!reference.running.empty()) {
            const std::uint64_t first = *reference.running.begin();
            queue.finish(first, now);
            reference.running.erase(first);
            reference.ended.insert(first);
        }
        break;
    default:
        if (!reference.waiting.empty() && *rc::gen::arbitrary<bool>()) {
            const std::uint64_t first = reference.waiting.begin()->first;
            queue.remove(first);
            reference.waiting.erase(first);
        }
        for (const queued_request& expired : queue.takeExpired(now))
            RC_ASSERT(reference.waiting.erase(expired.ticket) == 1);
    }
}

} // namespace

TEST_CASE("fair queue property: no request is lost, duplicated, or started after it was removed")
{
    const bool holds = rc::check([] {
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 4);
        fair_queue queue({ slots, 20, 0.1 });
        reference_queue reference;
        monotonic_time now = start;
        const int steps = *rc::gen::inRange(0, 150);
        for (int step = 0; step < steps; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 500));
            randomStep(queue, reference, static_cast<std::uint64_t>(step) + 1, slots, now);
            RC_ASSERT(queue.waiting() == reference.waiting.size());
            RC_ASSERT(queue.running() == reference.running.size());
        }
        for (const queued_request& expired : queue.takeExpired(now + seconds(100)))
            RC_ASSERT(reference.waiting.erase(expired.ticket) == 1);
        RC_ASSERT(reference.waiting.empty());
    });
    CHECK(holds);
}

TEST_CASE("fair queue property: while two teams wait, neither gets ahead by more than its largest request")
{
    const bool holds = rc::check([] {
        fair_queue queue({ 1, 10000, 0.1 });
        std::uint64_t ticket = 0;
        std::map<std::string, int> waiting;
        for (const std::string& team : teamNames) {
            const int count = *rc::gen::inRange(1, 60);
            const int largest = *rc::gen::inRange(1, 500);
            for (int request = 0; request < count; ++request) {
                const double tokens = *rc::gen::inRange(1, largest + 1);
                const queued_request value { ++ticket, team, priority::Interactive, tokens, start,
                    start + seconds(60) };
                RC_ASSERT(queue.offer(value, start).accepted);
            }
            waiting[team] = count;
        }
        std::map<std::string, double> served;
        std::map<std::string, double> largest;
        bool allTeamsWait = true;
        while (allTeamsWait) {
            const auto next = queue.startNext(start);
            queue.finish(next->ticket, start);
            served[next->team] += next->tokens;
            largest[next->team] = std::max(largest[next->team], next->tokens);
            allTeamsWait = --waiting[next->team] > 0;
            for (const std::string& one : teamNames)
                for (const std::string& other : teamNames)
                    RC_ASSERT(served[one] - served[other] <= largest[one]);
        }
    });
    CHECK(holds);
}

TEST_CASE("fair queue property: waiting batch requests get their share of any number of starts")
{
    const bool holds = rc::check([] {
        const double share = *rc::gen::inRange(5, 60) / 100.0;
        fair_queue queue({ 1, 10000, share });
        std::uint64_t ticket = 0;
        for (int request = 0; request < 400; ++request)
            queue.offer(
                { ++ticket, *rc::gen::elementOf(teamNames),
                    request % 2 ? priority::Batch : priority::Interactive, 10, start, start + seconds(60) },
                start);
        int batch = 0;
        for (int starts = 1; starts <= 150; ++starts) {
            const auto next = queue.startNext(start);
            queue.finish(next->ticket, start);
            batch += next->priority == priority::Batch ? 1 : 0;
            RC_ASSERT(batch + 1 >= share * starts);
            RC_ASSERT(batch <= share * starts + 1);
        }
    });
    CHECK(holds);
}

namespace {

/// Serves one request a second, while one team floods the queue and another sends one request every 10 s.
/// \param firstComeFirstServed queues all requests under one team, so that they start in the order of arrival
/// \return the longest wait of the team that sends few requests
milliseconds longestWaitOfSmallTeam(bool firstComeFirstServed)
{
    fair_queue queue({ 1, 10000, 0.1 });
    std::map<std::uint64_t, monotonic_time> arrived;
    std::uint64_t ticket = 0;
    milliseconds longest { 0 };
    monotonic_time now = start;
    for (int second = 0; second < 100; ++second, now += seconds(1)) {
        for (int request = 0; request < 3; ++request)
            queue.offer({ ++ticket, firstComeFirstServed ? "all" : "flood", priority::Interactive, 100, now,
                            now + seconds(9999) },
                now);
        if (second % 10 == 5) {
            arrived[++ticket] = now;
            queue.offer({ ticket, firstComeFirstServed ? "all" : "small", priority::Interactive, 100, now,
                            now + seconds(9999) },
                now);
        }
        const auto next = queue.startNext(now);
        if (const auto small = arrived.find(next->ticket); small != arrived.end()) {
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - small->second));
            arrived.erase(small);
        }
        queue.finish(next->ticket, now + seconds(1));
    }
    for (const auto& [waiting, since] : arrived)
        longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - since));
    return longest;
}

} // namespace

TEST_CASE("fair queue property: a flood delays another team by one request, and by far more if first come, "
          "first served")
{
    CHECK(longestWaitOfSmallTeam(false) <= seconds(2));
    CHECK(longestWaitOfSmallTeam(true) > seconds(30));
}
