#include "Route/upstream_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>

namespace sagesaddle {

namespace {

// Penalty for leaving the zone: the hop takes less than 3 ms, the rest limits traffic between zones.
constexpr double otherZoneMilliseconds = 40;
// Penalty for a suspect upstream: it is chosen only where all others would be later by this much.
constexpr double suspectMilliseconds = 5000;
// Penalty at a failure ratio of 1. The caller of a failed request retries after a second at best; most often
// the request has failed for good.
constexpr double failureMilliseconds = 3000;
// Prompt tokens that an engine processes between two token steps, and tokens in an event of a stream.
constexpr double chunkTokens = 1024;
constexpr double tokensPerEvent = 3.5;
// Time of a token step of an engine of mean speed; on unloaded engines gaps of an event were 26 ms and more.
constexpr double tokenStepMilliseconds = 10;
// Expected gaps, as parts of the objective, from which on streams may become late, and with which all do.
constexpr double riskyGap = 0.6;
constexpr double lateGap = 1.2;
// Cost of a running stream that becomes late: with ten of them, a request rather waits 600 ms elsewhere.
constexpr double lateStreamMilliseconds = 60;
// Number of unreported requests below which all candidates are compared.
constexpr double minUnreported = 1;
constexpr std::size_t minSample = 2;
// Share of its KV cache that an engine keeps free; with less it preempts running requests.
constexpr double memoryReserve = 0.06;

} // namespace

double forecastFirstEvent(const upstream_candidate& candidate, const request_demand& demand)
{
    const double ownTokens = std::max(0.0, demand.promptTokens - candidate.cachedTokens);
    double forecast
        = (candidate.tokensAhead + ownTokens) * candidate.millisecondsPerToken * candidate.timeFactor;
    const int excess = candidate.inFlight - candidate.slots + 1;
    if (excess > 0)
        forecast += candidate.meanRequestMilliseconds * candidate.timeFactor * excess
            / std::max(candidate.slots, 1);
    if (candidate.memoryTotal > 0 && candidate.inFlight > 0) {
        const double room = candidate.memoryTotal * (1 - memoryReserve) - candidate.memoryUsed;
        if (demand.kvCacheTokens > room)
            forecast += candidate.meanRequestMilliseconds * (demand.kvCacheTokens - room)
                / candidate.memoryTotal * 2;
    }
    return forecast;
}

double delayCost(const upstream_candidate& candidate, const request_demand& demand)
{
    if (demand.gapObjectiveMilliseconds <= 0)
        return 0;
    constexpr double eventTokens = chunkTokens * tokensPerEvent;
    const double ownTokens = std::max(0.0, demand.promptTokens - candidate.cachedTokens);
    const double waiting = std::max(0.0, candidate.tokensAhead) + ownTokens;
    const double gap = candidate.timeFactor
        * (tokensPerEvent * tokenStepMilliseconds
            + std::min(waiting, eventTokens) * candidate.millisecondsPerToken);
    const double lateShare
        = std::clamp((gap / demand.gapObjectiveMilliseconds - riskyGap) / (lateGap - riskyGap), 0.0, 1.0);
    const double ownShare = std::min(ownTokens / eventTokens, 1.0);
    return std::min(candidate.inFlight, candidate.slots) * lateShare * ownShare * lateStreamMilliseconds;
}

std::vector<std::size_t> sampleUpstreams(
    std::size_t count, double unreported, const std::function<double()>& draw)
{
    std::vector<std::size_t> indices(count);
    std::iota(indices.begin(), indices.end(), std::size_t { 0 });
    if (unreported < minUnreported || count <= minSample)
        return indices;
    const double wanted = std::ceil(static_cast<double>(count) / unreported);
    const std::size_t size = std::clamp(static_cast<std::size_t>(wanted), minSample, count);
    for (std::size_t position = 0; position < size; ++position) {
        const auto remaining = static_cast<double>(count - position);
        const auto drawn = std::min(static_cast<std::size_t>(draw() * remaining), count - position - 1);
        std::swap(indices[position], indices[position + drawn]);
    }
    indices.resize(size);
    return indices;
}

upstream_choice chooseUpstream(
    const std::vector<upstream_candidate>& candidates, const request_demand& demand, double objectiveFactor)
{
    if (candidates.empty())
        return no_candidate {};
    const double lowestFailureRatio
        = std::min_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
              return left.failureRatio < right.failureRatio;
          })->failureRatio;
    const double limit = demand.objectiveMilliseconds * objectiveFactor;
    std::optional<chosen_upstream> best;
    auto bestCost = std::pair(true, std::numeric_limits<double>::max());
    double earliest = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        const double forecast = forecastFirstEvent(candidate, demand);
        earliest = std::min(earliest, forecast);
        // A candidate that is late is never chosen, however low its penalties are.
        if (forecast > limit)
            continue;
        // The last term prefers the less loaded upstream where the forecasts are about equal.
        const double cost = forecast + delayCost(candidate, demand)
            + (candidate.isInSameZone ? 0 : otherZoneMilliseconds)
            + (candidate.isSuspect ? suspectMilliseconds : 0)
            + (candidate.failureRatio - lowestFailureRatio) * failureMilliseconds
            + 10.0 * candidate.inFlight / std::max(candidate.slots, 1);
        const auto ranked = std::pair(candidate.isHeldBack, cost);
        if (ranked < bestCost) {
            best = chosen_upstream { index, forecast, candidate.cachedTokens };
            bestCost = ranked;
        }
    }
    if (!best)
        return no_upstream_in_time { earliest };
    return *best;
}

} // namespace sagesaddle
