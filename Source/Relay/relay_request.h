#pragma once

#include "Base/clock.h"
#include "Fleet/model_ref.h"
#include "Loop/http_text.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A part of a prompt, such as a system prompt, that several requests may share.
struct prompt_part {
    std::uint64_t id { 0 };
    int tokens { 0 };

    auto operator<=>(const prompt_part&) const = default;
};

/// \brief A caller's request as it arrived.
struct relay_request {
    /// The caller's id for this attempt.
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    /// The API key, if there was one; it is never forwarded.
    std::optional<std::string> apiKey;
    /// How long the caller waits, counted from the request's arrival.
    std::optional<milliseconds> deadline;
    std::string model;
    std::string adapter;
    /// Prompt tokens as counted by the caller; absent if the request gives no counts.
    std::optional<int> promptTokens;
    int maxAnswerTokens { 0 };
    /// The caller's estimate of the answer's tokens; 0 if the request gives none.
    int expectedAnswerTokens { 0 };
    std::vector<prompt_part> parts;
    /// Id of the last event that the caller received, if it resumes a stream; otherwise empty.
    std::string lastEventId;
    /// Header fields that are forwarded to the upstream unchanged.
    std::vector<http_field> forwarded;
    std::string body;

    auto operator<=>(const relay_request&) const = default;

    /// \return the ids under which the prompt may be in quarantine; see prompt_id.h.
    std::vector<std::uint64_t> quarantineIds() const;

    /// \return what the upstream must have loaded, as `model` or `model/adapter`; empty if the request names
    /// no model.
    std::string modelRef() const { return model.empty() ? std::string() : formatModelRef(model, adapter); }
};

/// \brief Header fields that the gateway adds to a request for one upstream.
struct upstream_request_metadata {
    /// Time left for the upstream's work.
    milliseconds deadline { 0 };
    /// Id of the intended upstream; any other one declines the request.
    std::string instance;
    /// Team that the API key belongs to; empty on public routes.
    std::string team;
    /// 0 is the most urgent, 9 the least.
    std::optional<int> urgency;
    /// Replaces the caller's last event id when the gateway resumes a stream; otherwise empty.
    std::string lastEventId;

    auto operator<=>(const upstream_request_metadata&) const = default;
};

/// \brief What the head of an upstream's answer says besides its status.
struct upstream_answer_metadata {
    /// Id of the request that is answered; empty if the answer names none.
    std::string requestId;
    /// Whether the answer bears the upstream's signature.
    bool isSigned { false };
    /// Whether the upstream says that it did not run the request.
    bool isNotRun { false };
    /// Whether the upstream is shutting down and takes no further requests.
    bool isLeaving { false };
    /// Time for which the upstream asks this gateway for no further requests; given only when it rejected
    /// one.
    std::optional<milliseconds> requestedBackoff;
    /// Requests a second that the upstream takes from all gateways together; nothing if it states no limit.
    std::optional<double> requestLimit;
    /// Whether the answer states a limit that cannot be read.
    bool isRequestLimitInvalid { false };

    auto operator<=>(const upstream_answer_metadata&) const = default;
};

} // namespace sagesaddle
