#pragma once

#include "Base/clock.h"

#include <optional>
#include <string>

namespace sagesaddle {

/// \brief A request limit that an upstream states, or its end.
struct upstream_limit {
    /// Id of the upstream.
    std::string upstream;
    /// Requests a second that it takes from all gateways together; nothing if it has no limit any more.
    std::optional<double> requestsPerSecond;

    auto operator<=>(const upstream_limit&) const = default;
};

/// \brief What a gateway asks of the coordinator about an upstream with a request limit, and tells it.
struct send_credit_request {
    /// The limit as the gateway knows it.
    upstream_limit limit;
    /// Time since the gateway first knew it.
    milliseconds knownFor { 0 };
    /// Whether an answer of the upstream said so since the last report.
    bool isNews { false };
    /// Requests that wait to be sent.
    double needed { 0 };
    /// Further requests, prefetched.
    double ahead { 0 };
    /// Unspent credit that goes back to the coordinator.
    double returned { 0 };
    /// Requests a second that the upstream takes while it is cold, as the gateway knows it; 0 if it is not
    /// cold.
    double coldRequestsPerSecond { 0 };
    /// Time for which it stays cold.
    milliseconds coldRemaining { 0 };

    auto operator<=>(const send_credit_request&) const = default;
};

} // namespace sagesaddle
