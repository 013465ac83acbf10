#pragma once

#include "Fleet/loaded_models_history.h"
#include "Fleet/pace_table.h"
#include "Fleet/upstream_limit.h"
#include "Fleet/zone_evacuations.h"
#include "Quarantine/quarantine_messages.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief A gateway's request for credit of one team.
struct credit_request {
    std::string team;
    /// Tokens for which requests are waiting.
    double needed { 0 };
    /// Further tokens, prefetched for later requests.
    double ahead { 0 };
    /// Unspent tokens that go back to the coordinator.
    double returned { 0 };

    auto operator<=>(const credit_request&) const = default;
};

/// \brief Credit that the coordinator grants to a gateway.
struct credit_answer {
    /// Name of the team or id of the upstream.
    std::string name;
    double tokens { 0 };
    /// When to ask for more, in milliseconds, if less than needed was granted.
    std::uint32_t retryAfterMs { 0 };

    auto operator<=>(const credit_answer&) const = default;
};

/// \brief Work that a gateway has at an upstream.
struct upstream_work {
    std::string upstream;
    /// Requests in flight.
    std::uint32_t inFlight { 0 };
    /// Prompt tokens of these requests that the upstream has not read yet.
    double tokensAhead { 0 };
    /// KV cache that these requests occupy, in tokens.
    double kvCacheTokens { 0 };

    auto operator<=>(const upstream_work&) const = default;
};

/// \brief Work that all other gateways together have at an upstream, as in upstream_work.
struct peer_work {
    /// listed_upstream::number of the upstream.
    std::uint16_t number { 0 };
    std::uint16_t inFlight { 0 };
    std::uint32_t tokensAhead { 0 };
    std::uint32_t kvCacheTokens { 0 };

    auto operator<=>(const peer_work&) const = default;
};

/// \brief Times of an upstream's work since a gateway's last report, and outcomes in its slow start.
struct upstream_times {
    std::string upstream;
    pace_sums sums;
    start_report start;

    auto operator<=>(const upstream_times&) const = default;
};

/// \brief Time that an upstream takes for a piece of work, relative to the mean of its service.
struct numbered_factor {
    /// listed_upstream::number of the upstream.
    std::uint16_t number { 0 };
    float factor { 1 };

    auto operator<=>(const numbered_factor&) const = default;
};

/// \brief The concurrency limit of an upstream in slow start.
struct numbered_limit {
    /// listed_upstream::number of the upstream.
    std::uint16_t number { 0 };
    /// 0 after the end of the slow start.
    std::uint16_t limit { 0 };

    auto operator<=>(const numbered_limit&) const = default;
};

/// \brief Requests for a model or adapter since the last report.
struct demand_count {
    std::string service;
    std::string model;
    /// Empty for the model itself.
    std::string adapter;
    std::uint32_t requests { 0 };
    /// Those of `requests` that no upstream could take.
    std::uint32_t unplaced { 0 };
    /// Tokens of these requests.
    double tokens { 0 };

    auto operator<=>(const demand_count&) const = default;
};

/// \brief The models and adapters that an upstream has loaded, all of them or only the changes.
struct upstream_loaded_models {
    std::string upstream;
    loaded_models_update change;

    auto operator<=>(const upstream_loaded_models&) const = default;
};

/// \brief An upstream in the platform's list, or the removal of one.
struct listed_upstream {
    std::string upstream;
    /// Offset of the upstream's record in the platform's list.
    std::uint64_t offset { 0 };
    bool isRemoved { false };
    std::string service;
    /// `ip:port`.
    std::string address;
    std::string zone;
    std::uint32_t slots { 0 };
    bool isDraining { false };
    std::int64_t startedAt { 0 };
    /// Orders that the upstream has accepted since its start.
    std::uint64_t orders { 0 };
    /// Loaded models and adapters, as `model` or `model/adapter`.
    std::vector<std::string> loadedModels;
    /// Identifies the upstream in peer_work; valid as long as this process is the coordinator.
    std::uint16_t number { 0 };
    /// Time for which the upstream stays cold, counted from the sending; 0 if it is not cold.
    milliseconds coldRemaining { 0 };

    auto operator<=>(const listed_upstream&) const = default;
};

/// \brief Confirmation that the configuration up to an offset was the newest at a time.
struct config_confirmation {
    /// Age of the confirmation, in milliseconds.
    std::uint32_t ageMs { 0 };
    /// Offset after the newest record that was read.
    std::uint64_t configEnd { 0 };

    auto operator<=>(const config_confirmation&) const = default;
};

/// \brief A gateway's report to the coordinator.
struct fleet_report {
    /// Configured name of the gateway.
    std::string gateway;
    /// Increases with each report of a connection; the answer carries it.
    std::uint64_t number { 0 };
    /// Whether the gateway gets no answer from the platform's store.
    bool isStoreUnreachable { false };
    /// Whether the answer must be a full update, since none was received on this connection yet.
    bool wantsFullUpdate { false };
    /// Whether the report and its answer are about credit only; the work reported before still counts.
    bool isOnlyCredit { false };
    /// The gateway's name in the lease; empty if its host is not able to coordinate.
    std::string member;
    std::vector<credit_request> credit;
    std::vector<upstream_work> work;
    std::vector<demand_count> demand;
    std::vector<send_credit_request> sendCredit;
    quarantine_report quarantine;
    std::vector<upstream_times> times;

    auto operator<=>(const fleet_report&) const = default;

    /// \return whether there were requests that no upstream could take.
    bool hasUnplaced() const
    {
        return std::any_of(
            demand.begin(), demand.end(), [](const demand_count& item) { return item.unplaced > 0; });
    }
};

/// \brief The coordinator's answer to a report.
struct fleet_update {
    /// Number of the report.
    std::uint64_t number { 0 };
    /// Offset after the newest record of the lease.
    std::uint64_t leaseEnd { 0 };
    /// Name of the lease holder in that record.
    std::string leaseHolder;
    /// The coordinator's newest confirmation of the configuration; nothing if it has none.
    std::optional<config_confirmation> confirmation;
    /// Whether `listed` is the full list; otherwise it has the changes since the last update.
    bool isFullList { false };
    std::vector<listed_upstream> listed;
    /// Gateways that reported recently, including the coordinator.
    std::uint32_t gatewayCount { 0 };
    std::vector<credit_answer> credit;
    /// Work of the other gateways at the upstreams where it changed since the last update.
    std::vector<peer_work> work;
    /// Loaded models at the upstreams where they changed since the last update.
    std::vector<upstream_loaded_models> loadedModels;
    /// Name in the lease of the gateway that takes over if the coordinator stops answering.
    std::string successor;
    /// Whether the sender is an interim coordinator: the successor, which does not hold the lease yet and
    /// grants credit only from the shares of the gateways that report to it.
    bool isInterim { false };
    /// Request limits of upstreams that changed since the last update.
    std::vector<upstream_limit> upstreamLimits;
    /// Credit for requests to upstreams with a limit.
    std::vector<credit_answer> sendCredit;
    /// Nothing if no quarantine changed since the last update.
    std::optional<quarantine_update> quarantine;
    /// Upstreams whose speed changed since the last update.
    std::vector<numbered_factor> timeFactors;
    /// Nothing if neither the evacuated zones nor their position changed since the last update.
    std::optional<evacuated_zones> evacuations;
    /// Slow starts whose limit changed since the last update.
    std::vector<numbered_limit> startLimits;

    auto operator<=>(const fleet_update&) const = default;
};

/// \brief Changes of the list of upstreams that gateways must know before their next reports.
struct list_update {
    std::vector<listed_upstream> listed;

    auto operator<=>(const list_update&) const = default;
};

using fleet_message = std::variant<fleet_report, fleet_update, quarantine_update, list_update>;

/// \return the message as a size-prefixed frame, ready to be sent.
std::string encodeFleetMessage(const fleet_message& value);

/// \brief The first frame of a byte stream, decoded.
struct fleet_frame {
    /// Size of the frame with its prefix, in bytes; 0 if the bytes do not contain the whole frame yet.
    std::size_t size { 0 };
    /// Nothing if the frame is incomplete or of an unknown type.
    std::optional<fleet_message> message;
};

/// Decodes the first frame of a byte stream.
/// \throws std::runtime_error if the frame is too large or invalid
fleet_frame decodeFleetMessage(std::string_view bytes);

} // namespace sagesaddle
