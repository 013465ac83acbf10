#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief What a gateway knows of an upstream that could run a request.
struct upstream_candidate {
    /// Requests in flight on the upstream, those of other gateways included as last reported.
    int inFlight { 0 };
    /// Requests that the upstream runs at once.
    int slots { 1 };
    /// Prompt tokens of earlier requests that the upstream has yet to process.
    double tokensAhead { 0 };
    /// Prompt tokens of this request that the upstream has cached and need not process again.
    double cachedTokens { 0 };
    /// KV cache in use, in tokens.
    double memoryUsed { 0 };
    /// Size of its KV cache, in tokens; 0 where the upstream has no such limit.
    double memoryTotal { 0 };
    /// Time to process one prompt token, of an upstream of mean speed.
    double millisecondsPerToken { 0 };
    /// Time that this upstream takes for a piece of work, relative to the mean upstream.
    double timeFactor { 1 };
    /// Mean time for which a request occupies a slot; forecasts when a slot becomes free.
    double meanRequestMilliseconds { 0 };
    /// The upstream is in the zone of the gateway.
    bool isInSameZone { false };
    /// The upstream recently failed or stopped answering.
    bool isSuspect { false };
    /// The upstream is in slow start and should get no further request, unless no other can take it in time.
    bool isHeldBack { false };
    /// Part of its recent answers that failed, from 0 to 1.
    double failureRatio { 0 };

    auto operator<=>(const upstream_candidate&) const = default;
};

/// \brief What a request needs of an upstream.
struct request_demand {
    /// Tokens of the prompt.
    double promptTokens { 0 };
    /// KV cache that the request takes while it runs, in tokens.
    double kvCacheTokens { 0 };
    /// Time left until the first event of the answer is due.
    double objectiveMilliseconds { 0 };
    /// Longest time between two events with which a stream is on time; 0 if the delay of the streams that
    /// run on an upstream does not count.
    double gapObjectiveMilliseconds { 0 };

    auto operator<=>(const request_demand&) const = default;
};

/// \brief The chosen upstream and the forecast of the time to its first event.
struct chosen_upstream {
    /// Position among the candidates.
    std::size_t index { 0 };
    double firstEventMilliseconds { 0 };
    /// Prompt tokens of the request that the upstream has cached.
    double cachedTokens { 0 };

    auto operator<=>(const chosen_upstream&) const = default;
};

/// \brief No candidate is forecast to send the first event in time.
struct no_upstream_in_time {
    /// The earliest forecast of any candidate.
    double firstEventMilliseconds { 0 };

    auto operator<=>(const no_upstream_in_time&) const = default;
};

/// \brief The list of candidates was empty.
struct no_candidate {
    auto operator<=>(const no_candidate&) const = default;
};

/// \brief The result of chooseUpstream().
using upstream_choice = std::variant<chosen_upstream, no_upstream_in_time, no_candidate>;

/// \return the forecast time until the candidate sends the first event of the answer, in milliseconds.
double forecastFirstEvent(const upstream_candidate& candidate, const request_demand& demand);

/// \return the cost of the delay that the request's prompt causes to the streams that run on the candidate,
/// in milliseconds; 0 if the demand has no gap objective.
///
/// An engine processes a chunk of waiting prompt tokens between two token steps, so with a backlog each event
/// waits for several chunks. The cost grows with the number of running streams, with the expected gap where
/// it comes near the objective, and with the request's part in it.
double delayCost(const upstream_candidate& candidate, const request_demand& demand);

/// \brief Draws the candidates among which one request is placed.
///
/// Gateways learn of each other's load with a delay. Until the next reports arrive, all of them would find
/// the same upstream the least loaded and flood it. Therefore the sample shrinks as the number of requests
/// that are not yet reported grows, down to two candidates: the better of two random upstreams stays close to
/// the best of all, and the gateways draw different ones.
///
/// Performs no I/O and reads no clock.
///
/// \param count number of candidates
/// \param unreported mean number of requests that other gateways placed on these candidates since their last
///     reports
/// \param draw returns a random number from 0 to below 1 at each call
///
/// \return indices of the drawn candidates, in no order
std::vector<std::size_t> sampleUpstreams(
    std::size_t count, double unreported, const std::function<double()>& draw);

/// \brief Chooses the candidate with the lowest cost among those that meet the objective.
///
/// The cost is the forecast of the first event plus penalties and delayCost(). The forecast counts the prompt
/// tokens that wait at an upstream rather than its requests, which spreads a burst evenly over few engines. A
/// request whose forecast misses its objective on every candidate gets no_upstream_in_time, so that it can be
/// rejected before it delays others.
///
/// An upstream that fails some of its requests is penalised by how far its failure ratio exceeds the lowest
/// one among the candidates. A fault that affects all of them therefore does not change the spread.
///
/// A candidate that is held back is chosen only if no other candidate meets the objective.
///
/// Performs no I/O and reads no clock.
///
/// \param objectiveFactor forecasts up to this multiple of the objective count as in time
upstream_choice chooseUpstream(
    const std::vector<upstream_candidate>& candidates, const request_demand& demand, double objectiveFactor);

} // namespace sagesaddle
