#include "Route/upstream_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>

namespace sagesaddle {

namespace {

// Cost of leaving the zone: a hop is under 3 ms, the rest keeps bytes between zones down.
constexpr double farMilliseconds = 40;
// An upstream that just failed is taken only where all others would be later by as much.
constexpr double suspectMilliseconds = 5000;
// What a failure of every answer weighs: its caller comes back a second later at best, mostly it has failed
// for good.
constexpr double faultMilliseconds = 3000;
// Requests placed unseen below which the best of all is taken.
constexpr double leastUnseen = 1;
constexpr std::size_t leastSample = 2;
// Memory that an engine keeps free before it preempts running requests.
constexpr double memoryReserve = 0.06;

} // namespace

double forecastFirstEvent(const upstream_candidate& candidate, const request_demand& demand)
{
    const double ownTokens = std::max(0.0, demand.promptTokens - candidate.cachedTokens);
    double forecast = (candidate.tokensAhead + ownTokens) * candidate.millisecondsPerToken;
    const int over = candidate.inFlight - candidate.slots + 1;
    if (over > 0)
        forecast += candidate.meanRequestMilliseconds * over / std::max(candidate.slots, 1);
    if (candidate.memoryTotal > 0 && candidate.inFlight > 0) {
        const double room = candidate.memoryTotal * (1 - memoryReserve) - candidate.memoryUsed;
        if (demand.memoryTokens > room)
            forecast += candidate.meanRequestMilliseconds * (demand.memoryTokens - room)
                / candidate.memoryTotal * 2;
    }
    return forecast;
}

std::vector<std::size_t> sampleUpstreams(
    std::size_t count, double unseen, const std::function<double()>& draw)
{
    std::vector<std::size_t> indices(count);
    std::iota(indices.begin(), indices.end(), std::size_t { 0 });
    if (unseen < leastUnseen || count <= leastSample)
        return indices;
    const double wanted = std::ceil(static_cast<double>(count) / unseen);
    const std::size_t size = std::clamp(static_cast<std::size_t>(wanted), leastSample, count);
    for (std::size_t place = 0; place < size; ++place) {
        const auto left = static_cast<double>(count - place);
        const auto drawn = std::min(static_cast<std::size_t>(draw() * left), count - place - 1);
        std::swap(indices[place], indices[place + drawn]);
    }
    indices.resize(size);
    return indices;
}

upstream_choice chooseUpstream(
    const std::vector<upstream_candidate>& candidates, const request_demand& demand, double lateFactor)
{
    if (candidates.empty())
        return no_candidate {};
    const double leastFaults
        = std::min_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
              return left.failureRatio < right.failureRatio;
          })->failureRatio;
    const double limit = demand.objectiveMilliseconds * lateFactor;
    std::optional<chosen_upstream> best;
    double bestCost = std::numeric_limits<double>::max();
    double earliest = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        const double forecast = forecastFirstEvent(candidate, demand);
        earliest = std::min(earliest, forecast);
        // One that is in time is taken before one that is better liked and late.
        if (forecast > limit)
            continue;
        // Ties go to the upstream with fewer requests.
        const double cost = forecast + (candidate.isInSameZone ? 0 : farMilliseconds)
            + (candidate.isSuspect ? suspectMilliseconds : 0)
            + (candidate.failureRatio - leastFaults) * faultMilliseconds
            + 10.0 * candidate.inFlight / std::max(candidate.slots, 1);
        if (cost < bestCost) {
            best = chosen_upstream { index, forecast };
            bestCost = cost;
        }
    }
    if (!best)
        return no_upstream_in_time { earliest };
    return *best;
}

} // namespace sagesaddle
