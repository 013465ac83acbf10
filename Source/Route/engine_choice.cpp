#include "Route/engine_choice.h"

#include <algorithm>
#include <limits>
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
// Memory that an engine keeps free before it preempts running requests.
constexpr double memoryReserve = 0.06;

} // namespace

double forecastFirstEvent(const engine_candidate& candidate, const engine_demand& demand)
{
    const double ownTokens = std::max(0.0, demand.promptTokens - candidate.cachedTokens);
    double forecast = (candidate.tokensAhead + ownTokens) * candidate.millisecondsPerToken;
    const int over = candidate.inFlight - candidate.slots + 1;
    if (over > 0)
        forecast += candidate.holdMilliseconds * over / std::max(candidate.slots, 1);
    if (candidate.memoryTotal > 0 && candidate.inFlight > 0) {
        const double room = candidate.memoryTotal * (1 - memoryReserve) - candidate.memoryUsed;
        if (demand.memoryTokens > room)
            forecast += candidate.holdMilliseconds * (demand.memoryTokens - room) / candidate.memoryTotal * 2;
    }
    return forecast;
}

engine_choice chooseEngine(
    const std::vector<engine_candidate>& candidates, const engine_demand& demand, double lateFactor)
{
    if (candidates.empty())
        return engine_none {};
    const double leastFaults
        = std::min_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
              return left.faultShare < right.faultShare;
          })->faultShare;
    const double limit = demand.objectiveMilliseconds * lateFactor;
    std::optional<engine_pick> best;
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
        const double cost = forecast + (candidate.isNear ? 0 : farMilliseconds)
            + (candidate.isSuspect ? suspectMilliseconds : 0)
            + (candidate.faultShare - leastFaults) * faultMilliseconds
            + 10.0 * candidate.inFlight / std::max(candidate.slots, 1);
        if (cost < bestCost) {
            best = engine_pick { index, forecast };
            bestCost = cost;
        }
    }
    if (!best)
        return engine_full { earliest };
    return *best;
}

} // namespace sagesaddle
