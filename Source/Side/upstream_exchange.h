#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Base/verdict.h"
#include "Record/objects.h"
#include "Watch/trace_context.h"
#include "Wire/messages.h"

#include <cstdint>
#include <functional>
#include <string>

namespace sagesaddle {

class http_client;

/// \brief How an exchange with the upstream ended.
struct exchange_outcome {
    /// Answered where the whole answer was passed on.
    verdict ran { verdict::NotRun };
    /// Empty where answered.
    std::string reason;
    std::string detail;
    std::uint16_t status { 0 };
    std::uint32_t frames { 0 };
    std::uint64_t bytes { 0 };
    std::uint32_t tokensUsed { 0 };

    auto operator<=>(const exchange_outcome&) const = default;
};

/// \return the outcome of a request that was not answered.
exchange_outcome unansweredOutcome(verdict ran, std::string reason, std::string detail);

/// \brief Where an exchange gets its frames rid of, and learns that nobody waits any more.
struct exchange_hooks {
    /// Sends a frame to the entry; false where it cannot be reached.
    std::function<bool(const message&)> send;
    std::function<bool()> isCancelled;
};

/// \brief Where, as what and until when a request runs.
struct exchange_parameters {
    address target;
    upstream_kind kind { upstream_kind::Engine };
    /// The hop to the upstream.
    trace_context span;
    monotonic_time deadline;

    auto operator<=>(const exchange_parameters&) const = default;
};

/// \return whether the time of an exchange tells how fast the upstream serves: where it answered without an
/// error,
///         or kept the request beyond its deadline. What was cancelled or failed tells nothing.
bool isServiceTimeSample(const exchange_outcome& outcome);

/// Runs a request on the upstream and passes its answer on piece by piece.
/// \param client kept by the calling thread for its connections
exchange_outcome runExchange(http_client& client, const exchange_parameters& terms,
    const request_message& request, const exchange_hooks& hooks);

} // namespace sagesaddle
