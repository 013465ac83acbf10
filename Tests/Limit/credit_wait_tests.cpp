#include "Fleet/fleet_timing.h"
#include "Limit/credit_wait.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr unsigned fleetSize = 30;

coordination_state lostFor(milliseconds silentFor, bool hasSuccessor)
{
    return { silentFor, true, hasSuccessor, false, fleetSize };
}

coordination_state startedBefore(milliseconds age)
{
    return { age, false, false, false, fleetSize };
}

uncredited_request requestWith(milliseconds timeLeft)
{
    return { milliseconds(500), timeLeft, {}, 0 };
}

bool waits(const coordination_state& state, const uncredited_request& request)
{
    return std::holds_alternative<wait_for_credit>(decideCreditWait(state, request));
}

milliseconds retryAfter(const coordination_state& state, const uncredited_request& request)
{
    return std::get<refuse_uncredited>(decideCreditWait(state, request)).retryAfter;
}

} // namespace

// Guards against the refusal of all requests that arrive before a restarted fleet has a coordinator.
TEST_CASE("credit wait: after a start and after a loss, requests wait for the coordinator that is due")
{
    const auto request = requestWith(seconds(8));
    for (int silentFor = 0; silentFor < 2400; silentFor += 50) {
        CAPTURE(silentFor);
        CHECK(waits(startedBefore(milliseconds(silentFor)), request));
        CHECK(waits(lostFor(milliseconds(silentFor), true), request));
        CHECK(waits(lostFor(milliseconds(silentFor), false), request));
    }
}

// Guards against requests that are held and then refused.
TEST_CASE(
    "credit wait: a request that cannot be served after the coordinator is due is refused at once, with "
    "the time until then")
{
    CHECK(waits(startedBefore(milliseconds(100)), requestWith(milliseconds(1100))));
    CHECK(retryAfter(startedBefore(milliseconds(100)), requestWith(milliseconds(900))) == milliseconds(500));
    CHECK(waits(lostFor(milliseconds(500), true), requestWith(milliseconds(1000))));
    CHECK_FALSE(waits(lostFor(milliseconds(500), false), requestWith(milliseconds(1000))));
    CHECK(retryAfter(lostFor(milliseconds(700), false), requestWith(seconds(2))) == milliseconds(2000));
}

// Guards against requests that wait where nobody will answer.
TEST_CASE("credit wait: no request waits once no coordinator can be expected")
{
    const auto request = requestWith(seconds(20));
    CHECK_FALSE(waits(startedBefore(seconds(4)), request));
    CHECK_FALSE(waits(lostFor(seconds(4), true), request));
    auto state = lostFor(seconds(1), true);
    CHECK(waits(state, request));
    // Nobody can acquire the lease, and the successor was due earlier.
    state.isStoreUnreachable = true;
    CHECK_FALSE(waits(state, request));
    state.silentFor = milliseconds(500);
    CHECK(waits(state, request));
}

// Guards against refusals in ordinary operation, where credit takes one round trip.
TEST_CASE("credit wait: while the coordinator answers, requests wait for it whatever their objective")
{
    for (const unsigned gateways : { 1U, 30U, 350U }) {
        coordination_state state { fleetTimingFor(gateways).reportInterval, true, false, true, gateways };
        CHECK(waits(state, { seconds(10), milliseconds(300), {}, 0 }));
    }
}

// Guards against memory that grows while nobody coordinates.
TEST_CASE("credit wait: the number of waiting requests and the time of each are bounded")
{
    auto request = requestWith(seconds(20));
    request.othersWaiting = maxCreditWaits;
    CHECK_FALSE(waits(startedBefore(milliseconds(100)), request));
    request.othersWaiting = maxCreditWaits - 1;
    CHECK(waits(startedBefore(milliseconds(100)), request));
    request.waitedFor = seconds(3);
    CHECK_FALSE(waits(lostFor(milliseconds(100), true), request));
}
