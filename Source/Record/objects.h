#pragma once

#include "Base/address.h"
#include "Base/priority.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sagesaddle {

/// \brief A customer of the platform, with its rate limit over the whole fleet.
struct team {
    std::string name;
    /// Tokens that refill the team's bucket each second.
    double rateTokensPerSecond { 0 };
    /// Size of the team's bucket, in tokens.
    double burstTokens { 0 };
    /// Priority of requests that name none; schema 2 and later.
    priority defaultPriority { priority::Interactive };

    auto operator<=>(const team&) const = default;
};

/// \brief An API key of a team; only the hash of its secret is stored.
struct api_key {
    std::string id;
    std::string team;
    /// SHA-256 of the secret, in lower-case hexadecimal.
    std::string secretSha256;
    /// A withdrawn key is rejected; the withdrawal is final.
    bool withdrawn { false };

    auto operator<=>(const api_key&) const = default;
};

/// \brief A model, or an adapter of one, that engines can load.
struct model {
    std::string name;
    /// Engine memory that a loaded copy needs, in megabytes.
    std::uint64_t memoryMb { 0 };
    /// Name of the base model if this is an adapter; empty otherwise.
    std::string base;

    auto operator<=>(const model&) const = default;
};

/// \brief Kind of a back end.
enum class upstream_kind {
    /// Runs models, which it loads and unloads on orders of its side process.
    Engine,
    /// Any other HTTP service.
    Service,
};

/// \brief A back end: a model engine on its accelerators, or an instance of a plain service. A side process
/// of this project runs beside each one and passes on its requests and orders.
struct upstream {
    std::string name;
    upstream_kind kind { upstream_kind::Engine };
    std::string region;
    std::string zone;
    /// Address on which its side process listens for frames.
    address side;
    /// Address on which the engine or service itself listens for HTTP.
    address target;
    /// Name of the plain service that this is an instance of; empty for an engine.
    std::string service;
    /// Memory for models, in megabytes; may be 0 for a plain service.
    std::uint64_t memoryMb { 0 };
    /// Number of requests that it works on at the same time.
    std::uint32_t slots { 1 };
    /// Whether it rejects orders that carry an old fencing token.
    bool checksFencing { false };
    /// A leaving upstream gets no new work.
    bool leaving { false };

    auto operator<=>(const upstream&) const = default;
};

/// \brief Sends the requests under a path prefix to a plain service.
struct route {
    std::string pathPrefix;
    std::string service;
    /// Requests on an open route need no API key.
    bool open { false };
    /// Whether a request may run more than once; any other runs at most once.
    bool idempotent { false };
    /// Time that a request may take, in milliseconds; schema 2 and later.
    std::uint32_t deadlineMs { 30000 };

    auto operator<=>(const route&) const = default;
};

/// \brief A copy of a model on an engine.
struct placement {
    std::string model;
    std::string upstream;
    /// A pinned copy is never evicted to make room for another model.
    bool pinned { false };

    auto operator<=>(const placement&) const = default;
};

/// \brief An entry process, with the addresses at which its peers and operators reach it.
struct entry_config {
    std::string name;
    std::string region;
    std::string zone;
    /// Address on which it listens for frames of its peers.
    address peer;
    /// Address on which it listens for requests of operators.
    address admin;

    auto operator<=>(const entry_config&) const = default;
};

/// \brief Any object that operators declare. object_kind lists the alternatives in the same order.
using fleet_object = std::variant<team, api_key, model, upstream, route, placement, entry_config>;

} // namespace sagesaddle
