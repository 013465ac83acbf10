#pragma once

#include "Base/clock.h"
#include "Fleet/fleet_config.h"

#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A rate limit that holds for all gateways together: of a team, or of an upstream.
struct rate_limit {
    /// Name of the team or id of the upstream.
    std::string name;
    /// Tokens a second; for an upstream, requests a second.
    double ratePerSecond { 0 };
    /// Tokens that may be used at once.
    double burst { 0 };
    /// Level of a new bucket, in tokens; below 0 nothing is granted until it is refilled.
    double initialLevel { 0 };
    /// Grants are multiples of this many tokens; 0 for any amount.
    double grantUnit { 0 };

    auto operator<=>(const rate_limit&) const = default;
};

/// \return the limits of the teams that have one.
std::vector<rate_limit> rateLimitsOf(const std::vector<team_config>& teams);

/// Time before an upstream's limit was known whose requests count against it, at the rate of the limit.
inline constexpr double limitDebtSeconds = 2.5;

/// \param requestsPerSecond the limit that the upstream states
/// \param knownFor time since a gateway first knew the limit
/// \return the limit of an upstream, in requests.
rate_limit upstreamRateLimit(const std::string& id, double requestsPerSecond, milliseconds knownFor);

} // namespace sagesaddle
