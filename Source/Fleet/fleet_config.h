#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief What may be done again with a request of a route.
enum class route_type {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A stream of events: runs at most once, unless the route lets it be resumed.
    Stream,
};

/// \brief A service that a route sends to, with its share of the requests.
struct route_target {
    std::string service;
    double weight { 1 };

    auto operator<=>(const route_target&) const = default;
};

/// \brief A route of the operator's configuration.
struct route_config {
    std::string name;
    std::string host;
    std::string pathPrefix;
    route_type type { route_type::NonIdempotent };
    milliseconds timeout { 0 };
    /// Time to the answer, or a stream's first event, within which it has its full worth.
    milliseconds objective { 0 };
    /// Longest pause between events within which a stream is on time.
    milliseconds gapObjective { 0 };
    /// 0 is the most urgent.
    int priorityLevel { 0 };
    std::vector<route_target> targets;
    int maxAttempts { 1 };
    /// Needs no key.
    bool isPublic { false };
    bool isResumable { false };

    auto operator<=>(const route_config&) const = default;

    bool isStream() const { return type == route_type::Stream; }
    /// \return whether it may run again on another upstream.
    bool mayRunTwice() const
    {
        return type == route_type::Idempotent || (type == route_type::Stream && isResumable);
    }
};

/// \brief A model that a service's engines may hold.
struct model_config {
    std::string name;
    double weightsMb { 0 };
    /// From the weight store, while it is not crowded.
    milliseconds loadTime { 0 };
    /// Adapters are named a1, a2, and so on.
    int adapterCount { 0 };
    double adapterMb { 0 };

    auto operator<=>(const model_config&) const = default;
};

/// \brief What the engines of a service can hold and run.
struct engine_config {
    int slots { 1 };
    double kvCacheTokens { 0 };
    double weightMemoryMb { 0 };
    int adapterSlots { 0 };
    double loadsPerSecond { 0 };
    std::vector<model_config> models;

    auto operator<=>(const engine_config&) const = default;

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

/// \brief A service with its upstreams' common limits.
struct service_config {
    std::string name;
    /// Connections that one upstream accepts from all callers together; 0 for no limit.
    int maxConnections { 0 };
    std::optional<engine_config> engine;

    auto operator<=>(const service_config&) const = default;
};

/// \brief A team with its keys and its limit over the whole fleet.
struct team_config {
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<int> priorityLevel;
    bool countsTokens { false };
    /// What a request counts that names no tokens.
    double defaultRequestTokens { 1 };
    /// 0 for no limit.
    double ratePerSecond { 0 };
    double burst { 0 };

    auto operator<=>(const team_config&) const = default;
};

/// \brief What a caller may send and how long it may take.
struct caller_limits {
    std::size_t maxHeadBytes { 16384 };
    std::size_t maxBodyBytes { 4194304 };
    milliseconds headTimeout { 3000 };
    milliseconds idleTimeout { 15000 };

    auto operator<=>(const caller_limits&) const = default;
};

/// \brief One version of the operator's configuration.
struct fleet_config {
    std::uint64_t version { 0 };
    std::vector<route_config> routes;
    std::vector<service_config> services;
    /// Empty where requests carry no keys.
    std::vector<team_config> teams;
    caller_limits limits;

    auto operator<=>(const fleet_config&) const = default;
};

using fleet_config_ptr = std::shared_ptr<const fleet_config>;

} // namespace sagesaddle
