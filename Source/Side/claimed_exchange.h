#pragma once

#include "Once/key_claimer.h"
#include "Side/upstream_exchange.h"

#include <functional>
#include <string>

namespace sagesaddle {

/// \brief How calls that may run once are claimed; where empty no such call runs.
struct claim_hooks {
    std::function<claim_result(const std::string& team, const std::string& key, monotonic_time deadline)>
        claim;
    std::function<void(const claim_result& granted)> release;
};

/// Runs a call that may run once, if it can be claimed; a claimed call that surely did not leave is released.
exchange_outcome runClaimedExchange(http_client& client, const exchange_parameters& terms,
    const request_message& request, const exchange_hooks& hooks, const claim_hooks& claims);

} // namespace sagesaddle
