#pragma once

#include "Base/clock.h"
#include "Fleet/holding_name.h"
#include "Loop/http_text.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A part of a prompt that several requests may share.
struct prompt_part {
    std::uint64_t id { 0 };
    int tokens { 0 };

    auto operator<=>(const prompt_part&) const = default;
};

/// \brief A caller's request as it came.
struct relay_request {
    /// The caller's own id of this attempt.
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    /// The key, where one came; it is never sent on.
    std::optional<std::string> key;
    /// How long the caller waits, from the request's arrival.
    std::optional<milliseconds> deadline;
    std::string model;
    std::string adapter;
    /// Tokens as the caller counts them; absent for a request without counts.
    std::optional<int> promptTokens;
    int maxAnswerTokens { 0 };
    /// The caller's estimate of the answer's tokens; 0 where none came.
    int expectedAnswerTokens { 0 };
    std::vector<prompt_part> parts;
    /// The last event that the caller has, where it resumes a stream.
    std::string lastEventId;
    /// Fields that go to the upstream unchanged.
    std::vector<http_field> forwarded;
    std::string body;

    auto operator<=>(const relay_request&) const = default;

    /// \return what an upstream must hold for it, as `model` or `model/adapter`; empty where nothing is
    /// needed.
    std::string modelRef() const { return model.empty() ? std::string() : holdingName(model, adapter); }
};

/// \brief What the system adds to a request for one upstream.
struct upstream_request_metadata {
    /// Time left for the upstream's work.
    milliseconds deadline { 0 };
    /// Id of the upstream that is meant; any other one declines the request.
    std::string instance;
    /// Team that the key belongs to; empty on open routes.
    std::string team;
    /// 0 is the most urgent, 9 the least.
    std::optional<int> urgency;
    /// Overrides the caller's last event where the system resumes a stream.
    std::string lastEventId;

    auto operator<=>(const upstream_request_metadata&) const = default;
};

/// \brief What an upstream's answer says beside its status.
struct upstream_answer_metadata {
    std::string requestId;
    /// Bears the upstream's signature.
    bool isSigned { false };
    /// The upstream says that it did not run the request.
    bool isNotRun { false };
    /// The upstream is about to end and wants nothing more.
    bool isLeaving { false };
    /// Time for which the upstream wants nothing from this process, where it turned the request away.
    std::optional<milliseconds> requestedBackoff;

    auto operator<=>(const upstream_answer_metadata&) const = default;
};

} // namespace sagesaddle
