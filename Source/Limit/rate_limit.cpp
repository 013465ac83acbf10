#include "Limit/rate_limit.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Level of a team's new bucket, as a fraction of the burst. Grants of an earlier coordinator may still be
// spent, but the platform's bound allows more than this excess: a tenth beyond the rate over several seconds.
constexpr double initialTeamLevel = 0.5;
// The platform's bound of what a team uses in a window: a part of the limit beyond it, and some tokens.
constexpr double quotaWindowSeconds = 8;
constexpr double quotaExcess = 0.1;
constexpr double quotaSlackTokens = 10000;
// Part of that excess which a new bucket may take up, so that two coordinators may be lost within a window.
constexpr double initialExcessShare = 0.5;
// Lowest rate at which an upstream is used; without any request it could not say that its limit has ended.
constexpr double minUpstreamRate = 0.25;
// Requests that an upstream may get at once: as a time at its rate, and at least so many. Half of them may be
// granted for prefetch.
constexpr double upstreamBurstSeconds = 0.25;
constexpr double minUpstreamBurst = 2;

// A burst of several seconds of the rate, used up before the coordinator was lost, must not be given again.
double initialLevelOf(const team_config& team)
{
    const double excess
        = quotaExcess * (team.ratePerSecond * quotaWindowSeconds + team.burst) + quotaSlackTokens;
    return std::min(team.burst * initialTeamLevel, excess * initialExcessShare);
}

} // namespace

std::vector<rate_limit> rateLimitsOf(const std::vector<team_config>& teams)
{
    std::vector<rate_limit> limits;
    for (const auto& team : teams) {
        if (team.ratePerSecond > 0)
            limits.push_back({ team.name, team.ratePerSecond, team.burst, initialLevelOf(team), 0 });
    }
    return limits;
}

rate_limit upstreamRateLimit(const std::string& id, double requestsPerSecond, milliseconds knownFor)
{
    const double rate = std::max(requestsPerSecond, minUpstreamRate);
    const double knownSeconds = std::chrono::duration<double>(knownFor).count();
    return { id, rate, std::max(minUpstreamBurst, rate * upstreamBurstSeconds),
        -rate * std::max(0.0, limitDebtSeconds - knownSeconds), 1 };
}

} // namespace sagesaddle
