#include "Side/claimed_exchange.h"

#include "Watch/log.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// If the log takes longer, it counts as unreachable: the call is refused rather than delayed further.
constexpr milliseconds maxClaimTime { 2000 };

// If the claim fails in any way, the result is Unavailable and the call must not run.
claim_result tryClaim(const claim_hooks& claims, const request_message& request, monotonic_time deadline)
{
    if (!claims.claim)
        return {};
    try {
        const auto claimDeadline = std::min(deadline, monotonicNow() + maxClaimTime);
        return claims.claim(request.team, request.idempotencyKey, claimDeadline);
    } catch (const std::exception& error) {
        writeLog(log_level::Error, "cannot claim an idempotency key; the call is refused",
            { { "error", error.what() } });
        return {};
    }
}

} // namespace

exchange_outcome runClaimedExchange(http_client& client, const exchange_parameters& parameters,
    const request_message& request, const exchange_hooks& hooks, const claim_hooks& claims)
{
    if (request.idempotencyKey.empty()) {
        return unansweredOutcome(
            verdict::NotRun, "no_idempotency_key", "a call that may run once needs an Idempotency-Key");
    }
    const claim_result claimed = tryClaim(claims, request, parameters.deadline);
    switch (claimed.outcome) {
    case claim_outcome::Taken:
        return unansweredOutcome(
            verdict::MayHaveRun, "already_claimed", "an earlier call with this key may have run");
    case claim_outcome::TooOld:
        return unansweredOutcome(
            verdict::MayHaveRun, "key_too_old", "the key is older than what is remembered");
    case claim_outcome::Unavailable:
        return unansweredOutcome(
            verdict::NotRun, "log_unavailable", "the claim could not be settled in the log");
    case claim_outcome::Granted:
        break;
    }
    exchange_outcome outcome = runExchange(client, parameters, request, hooks);
    if (outcome.ran == verdict::NotRun && claims.release)
        claims.release(claimed);
    return outcome;
}

} // namespace sagesaddle
