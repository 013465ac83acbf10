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
    /// Answered if the whole answer was passed on.
    verdict ran { verdict::NotRun };
    /// Name of the reason why the request was not answered; empty if it was.
    std::string reason;
    /// Explanation as plain text; empty if the request was answered.
    std::string detail;
    /// HTTP status of the answer.
    std::uint16_t status { 0 };
    /// Number of data frames of the answer.
    std::uint32_t frames { 0 };
    /// Size of the answer's body.
    std::uint64_t bytes { 0 };
    /// Tokens used as reported in the answer; 0 if unknown.
    std::uint32_t tokensUsed { 0 };

    auto operator<=>(const exchange_outcome&) const = default;
};

/// \return the outcome of a request that was not answered or not wholly.
exchange_outcome unansweredOutcome(verdict ran, std::string reason, std::string detail);

/// \brief Connects an exchange with the entry that sent the request.
struct exchange_hooks {
    /// Sends a frame to the entry; returns false if the entry cannot be reached.
    std::function<bool(const message&)> send;
    /// Returns whether the entry no longer waits for the answer.
    std::function<bool()> isCancelled;
};

/// \brief Parameters of an exchange with the upstream.
struct exchange_parameters {
    /// Address of the upstream.
    address target;
    upstream_kind kind { upstream_kind::Engine };
    /// Span of the hop to the upstream.
    trace_context span;
    /// When the exchange is aborted.
    monotonic_time deadline;

    auto operator<=>(const exchange_parameters&) const = default;
};

/// \return whether the duration of the exchange is a sample of the upstream's service time: the upstream
///         answered without an error status or exceeded the deadline. The duration of a cancelled or failed
///         request tells nothing about the upstream's speed.
bool isServiceTimeSample(const exchange_outcome& outcome);

/// Runs a request on the upstream and passes its answer on in frames while it arrives.
/// \param client HTTP client of the calling thread, which keeps its connections between calls
/// \return the outcome; the caller sends the last frame, an answer_end or a refusal_message
exchange_outcome runExchange(http_client& client, const exchange_parameters& parameters,
    const request_message& request, const exchange_hooks& hooks);

} // namespace sagesaddle
