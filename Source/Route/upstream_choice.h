#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief What is known of an upstream that could run a request.
struct upstream_candidate {
    /// Requests at it, from all entries as far as known.
    int inFlight { 0 };
    int slots { 1 };
    /// Prompt tokens that wait there to be read.
    double tokensAhead { 0 };
    /// Prompt tokens of this request that it need not read again.
    double cachedTokens { 0 };
    double memoryUsed { 0 };
    /// 0 where it has no bound.
    double memoryTotal { 0 };
    double millisecondsPerToken { 0 };
    /// How long a request stays, on the mean; tells when a place is free again.
    double meanRequestMilliseconds { 0 };
    bool isInSameZone { false };
    /// Lately failed or silent.
    bool isSuspect { false };
    /// Part of its recent answers that failed.
    double failureRatio { 0 };

    auto operator<=>(const upstream_candidate&) const = default;
};

/// \brief What a request needs of an upstream.
struct request_demand {
    double promptTokens { 0 };
    double memoryTokens { 0 };
    /// Time left within which a first event is on time.
    double objectiveMilliseconds { 0 };

    auto operator<=>(const request_demand&) const = default;
};

/// \brief The upstream that was chosen and the forecast of its first event.
struct chosen_upstream {
    std::size_t index { 0 };
    double firstEventMilliseconds { 0 };

    auto operator<=>(const chosen_upstream&) const = default;
};

/// \brief No upstream can begin in time; the earliest could after that time.
struct no_upstream_in_time {
    double firstEventMilliseconds { 0 };

    auto operator<=>(const no_upstream_in_time&) const = default;
};

/// \brief There is no upstream to choose from.
struct no_candidate {
    auto operator<=>(const no_candidate&) const = default;
};

using upstream_choice = std::variant<chosen_upstream, no_upstream_in_time, no_candidate>;

/// \return the forecast of the time to the first event, in milliseconds.
double forecastFirstEvent(const upstream_candidate& candidate, const request_demand& demand);

/// Picks the upstreams that a request is to choose among; pure.
///
/// Answers many gateways that place requests by news of each other's load: in the time until the news come,
/// all of them find the same upstream the least loaded, and flood it. The more requests are placed unseen,
/// the fewer upstreams a request looks at, down to two: the better of two random ones stays close to the best
/// of all, and the gateways differ in which they look at. \param count upstreams that could take it \param
/// unseen requests that the others placed on these upstreams since their last news, on the mean \param draw
/// gives a number from 0 to below 1 at each call \return indices, without order
std::vector<std::size_t> sampleUpstreams(
    std::size_t count, double unseen, const std::function<double()>& draw);

/// Chooses the upstream with the earliest forecast; pure.
///
/// Answers a burst on few engines: requests spread by the prompt tokens that wait ahead rather than by
/// counts, and one whose forecast misses its objective everywhere is turned away before it makes others late.
/// Answers upstreams that fail part of their requests: they are eased off by how much worse they are than the
/// best of their peers, so that a fault of all leaves the spread as it is.
/// \param lateFactor how far beyond the objective a forecast may lie
upstream_choice chooseUpstream(
    const std::vector<upstream_candidate>& candidates, const request_demand& demand, double lateFactor);

} // namespace sagesaddle
