#pragma once

#include "Fleet/loaded_models_history.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief Credit that an entry asks for.
struct credit_request {
    std::string team;
    /// Tokens that requests wait for.
    double needed { 0 };
    /// Further tokens, for the requests to come.
    double ahead { 0 };
    /// Tokens in hand that are not needed any more.
    double returned { 0 };

    auto operator<=>(const credit_request&) const = default;
};

/// \brief Credit that the coordinator grants.
struct credit_answer {
    std::string team;
    double tokens { 0 };
    /// When more can be had, where less than needed was granted.
    std::uint32_t retryAfterMs { 0 };

    auto operator<=>(const credit_answer&) const = default;
};

/// \brief Work at an upstream.
struct upstream_work {
    std::string upstream;
    std::uint32_t inFlight { 0 };
    double tokensAhead { 0 };
    double memoryTokens { 0 };

    auto operator<=>(const upstream_work&) const = default;
};

/// \brief Work of the other entries at an upstream, which is named by its number in the coordinator's list.
struct peer_work {
    std::uint16_t number { 0 };
    std::uint16_t inFlight { 0 };
    std::uint32_t tokensAhead { 0 };
    std::uint32_t memoryTokens { 0 };

    auto operator<=>(const peer_work&) const = default;
};

/// \brief Requests that asked for a model or adapter lately.
struct demand_count {
    std::string service;
    std::string model;
    std::string adapter;
    std::uint32_t requests { 0 };
    std::uint32_t unplaced { 0 };
    double tokens { 0 };

    auto operator<=>(const demand_count&) const = default;
};

/// \brief What came and went at an upstream, or all that it holds.
struct upstream_loaded_models {
    std::string upstream;
    loaded_models_update change;

    auto operator<=>(const upstream_loaded_models&) const = default;
};

/// \brief An upstream of the platform's list, or its removal.
struct listed_upstream {
    std::string upstream;
    /// Offset of its record in the list.
    std::uint64_t offset { 0 };
    bool isRemoved { false };
    std::string service;
    std::string address;
    std::string zone;
    std::uint32_t slots { 0 };
    bool isDraining { false };
    std::int64_t startedAt { 0 };
    std::uint64_t orders { 0 };
    /// `model` or `model/adapter`.
    std::vector<std::string> loadedModels;
    /// Names it in peer_work, as long as this coordinator lasts.
    std::uint16_t number { 0 };

    auto operator<=>(const listed_upstream&) const = default;
};

/// \brief Evidence that the configuration was read up to an offset.
struct config_confirmation {
    std::uint32_t ageMs { 0 };
    std::uint64_t configEnd { 0 };

    auto operator<=>(const config_confirmation&) const = default;
};

/// \brief An entry's report to the coordinator.
struct fleet_report {
    std::string gateway;
    std::uint64_t number { 0 };
    /// Whether the platform's store is away from the gateway.
    bool isStoreUnreachable { false };
    /// Nothing was told on this connection yet: the answer tells everything.
    bool wantsFullUpdate { false };
    /// Nothing but credit is told and asked for; the work reported before still holds.
    bool isOnlyCredit { false };
    /// The entry's name in the lease, where its host is fit to coordinate.
    std::string member;
    std::vector<credit_request> credit;
    std::vector<upstream_work> work;
    std::vector<demand_count> demand;

    auto operator<=>(const fleet_report&) const = default;

    /// \return whether it tells of requests that no upstream could take.
    bool hasUnplaced() const
    {
        return std::any_of(
            demand.begin(), demand.end(), [](const demand_count& item) { return item.unplaced > 0; });
    }
};

/// \brief The coordinator's answer to a report.
struct fleet_update {
    std::uint64_t number { 0 };
    /// Offset behind the newest record of the lease, and the holder's name in it.
    std::uint64_t leaseEnd { 0 };
    std::string leaseHolder;
    std::optional<config_confirmation> confirmation;
    /// Whether `listed` is the whole list, or what changed in it since the last news.
    bool isFullList { false };
    std::vector<listed_upstream> listed;
    std::uint32_t gatewayCount { 0 };
    std::vector<credit_answer> credit;
    /// Work of the other entries, where it changed since the last news.
    std::vector<peer_work> work;
    /// Holdings that changed since the last news.
    std::vector<upstream_loaded_models> loadedModels;
    /// Name in the lease of the entry that coordinates next, should this one fall silent.
    std::string successor;
    /// Told by the successor before it holds the lease: credit from the shares of those that report to it.
    bool isInterim { false };

    auto operator<=>(const fleet_update&) const = default;
};

using fleet_message = std::variant<fleet_report, fleet_update>;

/// \return the message as a frame with its size in front.
std::string encodeFleetMessage(const fleet_message& value);

/// \brief Takes frames out of a byte stream.
struct fleet_frame {
    /// Bytes that the frame takes; 0 where it is not whole yet.
    std::size_t size { 0 };
    std::optional<fleet_message> message;
};

/// Reads the first frame of the bytes.
/// \throws std::runtime_error where the bytes are no frame
fleet_frame decodeFleetMessage(std::string_view bytes);

} // namespace sagesaddle
