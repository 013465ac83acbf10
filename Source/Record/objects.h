#pragma once

#include "Base/address.h"
#include "Base/priority.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sagesaddle {

/// \brief A customer of the platform, with its rate over the whole fleet.
struct team {
    std::string name;
    double rateTokensPerSecond { 0 };
    double burstTokens { 0 };
    /// Class of requests that name none; schema 2 and later.
    priority defaultPriority { priority::Interactive };

    auto operator<=>(const team&) const = default;
};

/// \brief A caller's key, known only by the hash of its secret.
struct api_key {
    std::string id;
    std::string team;
    /// SHA-256 of the secret, in lower-case hexadecimal.
    std::string secretSha256;
    bool withdrawn { false };

    auto operator<=>(const api_key&) const = default;
};

/// \brief A model or an adapter that engines can load.
struct model {
    std::string name;
    std::uint64_t memoryMb { 0 };
    /// Name of the base model where this is an adapter, empty otherwise.
    std::string base;

    auto operator<=>(const model&) const = default;
};

/// \brief What stands behind a side process.
enum class upstream_kind {
    Engine,
    Service,
};

/// \brief A back end: a model engine on its accelerators, or a plain service.
struct upstream {
    std::string name;
    upstream_kind kind { upstream_kind::Engine };
    std::string region;
    std::string zone;
    /// Where its side process listens for frames.
    address side;
    /// Where the engine or service itself listens for HTTP.
    address target;
    /// Name of the plain service it is an instance of; empty for an engine.
    std::string service;
    std::uint64_t memoryMb { 0 };
    /// Requests it works on at once.
    std::uint32_t slots { 1 };
    /// Whether it refuses orders that carry an old fencing number.
    bool checksFencing { false };
    /// No new work goes to an upstream that is leaving.
    bool leaving { false };

    auto operator<=>(const upstream&) const = default;
};

/// \brief A path that leads to a plain service.
struct route {
    std::string pathPrefix;
    std::string service;
    /// No key is asked for on an open route.
    bool open { false };
    /// Whether a call may be repeated; a call that may not runs at most once.
    bool idempotent { false };
    /// Time a call may take, in milliseconds; schema 2 and later.
    std::uint32_t deadlineMs { 30000 };

    auto operator<=>(const route&) const = default;
};

/// \brief A model's place on an upstream.
struct placement {
    std::string model;
    std::string upstream;
    /// A pinned copy is never evicted to make room.
    bool pinned { false };

    auto operator<=>(const placement&) const = default;
};

/// \brief An entry process, as its peers and operators find it.
struct entry_config {
    std::string name;
    std::string region;
    std::string zone;
    /// Where it listens for frames of its peers.
    address peer;
    /// Where it listens for operators.
    address admin;

    auto operator<=>(const entry_config&) const = default;
};

/// Any object that operators declare.
using fleet_object = std::variant<team, api_key, model, upstream, route, placement, entry_config>;

} // namespace sagesaddle
