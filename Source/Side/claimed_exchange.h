#pragma once

#include "Once/key_claimer.h"
#include "Side/upstream_exchange.h"

#include <functional>
#include <string>

namespace sagesaddle {

/// \brief Claims the idempotency keys of calls that may run at most once; see key_claimer.
struct claim_hooks {
    /// If empty, no call that needs a claim is run.
    std::function<claim_result(const std::string& team, const std::string& key, monotonic_time deadline)>
        claim;
    /// Releases a granted claim whose call certainly did not run. Optional.
    std::function<void(const claim_result& granted)> release;
};

/// Claims the idempotency key of a call that may run at most once and runs the call if the claim is granted.
/// Releases the claim if the call was certainly not sent.
/// \param client HTTP client of the calling thread, which keeps its connections between calls
/// \return the outcome of the call, or why it was not run: it has no key or the claim was not granted
exchange_outcome runClaimedExchange(http_client& client, const exchange_parameters& parameters,
    const request_message& request, const exchange_hooks& hooks, const claim_hooks& claims);

} // namespace sagesaddle
