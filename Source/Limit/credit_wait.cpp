#include "Limit/credit_wait.h"

#include "Fleet/fleet_timing.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Time from the start of a fleet until its coordinator grants credit; 0.36 s were measured with 30 gateways.
constexpr milliseconds startDue { 600 };
// Time beyond the timeout of a silent coordinator within which its successor grants credit. A broken
// connection shows the loss sooner: 0.5 to 0.6 s were measured from the loss of a host to the first grant.
constexpr milliseconds successorReserve { 300 };
// Time without a successor until another gateway has the lease, beyond an interval between reads of it: the
// lease's time and the delay of gateways that are not expected to acquire it.
constexpr milliseconds takeoverDue { 2100 };
// Beyond that time: calls to the store and the connections to the new coordinator.
constexpr milliseconds takeoverReserve { 300 };
// Time beyond two report intervals without an answer from which on a coordinator is not taken for running.
constexpr milliseconds answerReserve { 100 };
// Retry-After where no coordinator can be expected, and the shortest one where one is due.
constexpr milliseconds unknownRetryAfter { 600 };
constexpr milliseconds minDueRetryAfter { 50 };

milliseconds takeoverTime(unsigned gateways)
{
    return takeoverDue + fleetTimingFor(gateways).leaseReadInterval + takeoverReserve;
}

} // namespace

std::optional<milliseconds> coordinatorDueIn(const coordination_state& state)
{
    const fleet_timing timing = fleetTimingFor(state.gateways);
    if (state.hasAnswered && state.silentFor < timing.reportInterval * 2 + answerReserve)
        return milliseconds(0);
    // A successor needs no lease; all others do.
    const milliseconds successorDue = timing.coordinatorTimeout + successorReserve;
    if (state.hasAnswered && state.hasSuccessor && state.silentFor < successorDue)
        return successorDue - state.silentFor;
    if (state.isStoreUnreachable)
        return std::nullopt;
    if (!state.hasAnswered && state.silentFor < startDue)
        return startDue - state.silentFor;
    const milliseconds due = takeoverTime(state.gateways);
    return state.silentFor < due ? std::optional(due - state.silentFor) : std::nullopt;
}

credit_wait_decision decideCreditWait(const coordination_state& state, const uncredited_request& request)
{
    const auto due = coordinatorDueIn(state);
    if (!due)
        return refuse_uncredited { unknownRetryAfter };
    // Where the objective is most of the time left, half of that time is kept for the answer.
    const milliseconds maxWait = std::max(request.timeLeft - request.objective, request.timeLeft / 2);
    if (*due > maxWait || request.othersWaiting >= maxCreditWaits
        || request.waitedFor >= takeoverTime(state.gateways))
        return refuse_uncredited { std::max(*due, minDueRetryAfter) };
    return wait_for_credit { *due };
}

} // namespace sagesaddle
