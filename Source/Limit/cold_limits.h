#pragma once

#include "Fleet/fleet_config.h"
#include "Fleet/upstream_list.h"
#include "Limit/rate_limit.h"

#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief The request limit of a cold upstream, for all gateways together.
struct cold_limit {
    /// Id of the upstream.
    std::string upstream;
    double requestsPerSecond { 0 };
    /// Since when it is known here to be cold.
    monotonic_time since {};
    monotonic_time endsAt {};
    /// Whether the process was in use before it turned cold; otherwise it was cold when first listed.
    bool wasInUse { false };

    auto operator<=>(const cold_limit&) const = default;
};

/// \return the limit as a token bucket that is created now.
rate_limit coldRateLimit(const cold_limit& limit, monotonic_time now);

/// \return the time for which an upstream stays cold; 0 if it is not cold.
milliseconds remainingColdTime(const upstream_entry& entry, monotonic_time now);

/// \brief Decides which upstreams have a request limit because they are cold, from the list of upstreams and
/// the configuration. No I/O and no clock; not thread-safe.
///
/// A limit ends by itself with the upstream's cold time, also if nobody updates the entry.
class cold_limits {
public:
    /// Applies the limits that the services state for their cold upstreams.
    void onConfig(const std::vector<service_config>& services);
    /// Applies the list of upstreams.
    void onUpstreams(const std::map<std::string, upstream_entry>& entries, monotonic_time now);

    /// \return whether the service states a limit for its cold upstreams.
    bool isLimited(const std::string& service) const { return m_requestsPerSecond.contains(service); }
    /// \return the limits in force, by ascending id.
    std::vector<cold_limit> inForce(monotonic_time now) const;

private:
    struct upstream_state {
        std::string service;
        address endpoint;
        std::int64_t startedAt { 0 };
        monotonic_time coldUntil {};
        /// Since when it is cold, if it is.
        monotonic_time coldSince {};
        bool wasInUse { false };
    };

    /// By the service's name.
    std::map<std::string, double> m_requestsPerSecond;
    /// The upstreams of these services, by id. Those of the others are kept too, since the configuration may
    /// arrive after the list.
    std::map<std::string, upstream_state> m_upstreams;
};

} // namespace sagesaddle
