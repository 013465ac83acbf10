#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief How often a request of a route may run, which decides what may be retried.
enum class route_type {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// Answers are streams of events. Requests run at most once, unless the route allows them to be resumed.
    Stream,
};

/// \brief A service to which a route sends requests, with its share of them.
struct route_target {
    std::string service;
    /// Share of the requests, relative to the route's other targets.
    double weight { 1 };

    auto operator<=>(const route_target&) const = default;
};

/// \brief A route of the operator's configuration: which requests it matches, where it sends them and how.
struct route_config {
    std::string name;
    std::string host;
    std::string pathPrefix;
    route_type type { route_type::NonIdempotent };
    /// Longest time to the end of the answer; 0 for the gateways' default.
    milliseconds timeout { 0 };
    /// Latency objective: an answer, or the first event of a stream, within this time counts in full.
    milliseconds objective { 0 };
    /// Latency objective of streams: they are on time while no gap between two events is longer.
    milliseconds gapObjective { 0 };
    /// 0 is the most urgent.
    int priorityLevel { 0 };
    std::vector<route_target> targets;
    /// How many times a request may be sent to upstreams, the first time included.
    int maxAttempts { 1 };
    /// Requests need no API key.
    bool isPublic { false };
    /// Streams that broke off may be resumed on another upstream.
    bool isResumable { false };

    auto operator<=>(const route_config&) const = default;

    bool isStream() const { return type == route_type::Stream; }
    /// \return whether a request that may have run on one upstream may run on another.
    bool mayRunTwice() const
    {
        return type == route_type::Idempotent || (type == route_type::Stream && isResumable);
    }
};

/// \brief A model that the engines of a service may load.
struct model_config {
    std::string name;
    /// Size of its weights, in MB.
    double weightsMb { 0 };
    /// Time to load it from the weight store, while few others load from there.
    milliseconds loadTime { 0 };
    /// The adapters are named a1, a2 and so on.
    int adapterCount { 0 };
    /// Size of each adapter, in MB.
    double adapterMb { 0 };

    auto operator<=>(const model_config&) const = default;
};

/// \brief What the engines of a service can load and run. All but loadsPerSecond holds for each engine.
struct engine_config {
    /// Number of requests that run at the same time.
    int slots { 1 };
    /// Size of the KV cache, in tokens.
    double kvCacheTokens { 0 };
    /// Memory for the weights of models, in MB.
    double weightMemoryMb { 0 };
    /// Number of adapters that can be loaded at the same time.
    int adapterSlots { 0 };
    /// Loads a second that the weight store allows over all engines of the service.
    double loadsPerSecond { 0 };
    std::vector<model_config> models;

    auto operator<=>(const engine_config&) const = default;

    /// \return the model with that name, or nullptr if there is none.
    const model_config* find(const std::string& model) const
    {
        for (const auto& entry : models) {
            if (entry.name == model)
                return &entry;
        }
        return nullptr;
    }
};

using engine_config_ptr = std::shared_ptr<const engine_config>;

/// \brief A service and the limits that its upstreams have in common.
struct service_config {
    std::string name;
    /// Number of connections that one upstream accepts from all its clients together; 0 for no limit.
    int maxConnections { 0 };
    /// Nothing if the service's upstreams are not model engines.
    std::optional<engine_config> engine;
    /// Requests a second that a cold upstream takes from all gateways together; 0 if the service has no cold
    /// upstreams.
    double coldRequestsPerSecond { 0 };
    /// Time for which an upstream is usually cold after its start.
    milliseconds coldStart { 0 };

    auto operator<=>(const service_config&) const = default;
};

/// \brief A team with its API keys and its rate limit, which holds for the whole fleet.
struct team_config {
    std::string name;
    std::vector<std::string> apiKeys;
    /// Takes precedence over the route's priorityLevel; 0 is the most urgent.
    std::optional<int> priorityLevel;
    /// Whether the limit counts tokens instead of requests.
    bool countsTokens { false };
    /// Number of tokens that count for a request that does not state them.
    double defaultRequestTokens { 1 };
    /// Tokens or requests a second; 0 for no limit.
    double ratePerSecond { 0 };
    /// Tokens or requests that may be used at once.
    double burst { 0 };

    auto operator<=>(const team_config&) const = default;
};

/// \brief Limits on what a caller, that is, a client of the gateways, may send and how long it may take.
struct caller_limits {
    /// Size of a request's head: its request line and header fields.
    std::size_t maxHeadBytes { 16384 };
    std::size_t maxBodyBytes { 4194304 };
    /// Time within which the head of a request must arrive.
    milliseconds headTimeout { 3000 };
    /// Time after which an idle connection is closed. The body of a request must arrive within it, too.
    milliseconds idleTimeout { 15000 };

    auto operator<=>(const caller_limits&) const = default;
};

/// \brief One version of the operator's configuration.
struct fleet_config {
    std::uint64_t version { 0 };
    std::vector<route_config> routes;
    std::vector<service_config> services;
    /// Empty if requests carry no API keys.
    std::vector<team_config> teams;
    caller_limits limits;

    auto operator<=>(const fleet_config&) const = default;
};

using fleet_config_ptr = std::shared_ptr<const fleet_config>;

} // namespace sagesaddle
