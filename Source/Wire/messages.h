#pragma once

#include "Base/priority.h"
#include "Base/verdict.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief A header field of a request or an answer.
struct header_field {
    std::string name;
    std::string value;

    auto operator<=>(const header_field&) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

/// \brief What requests lately asked of a model on one upstream, answered or not.
struct model_use {
    std::string model;
    double tokensPerSecond { 0 };

    auto operator<=>(const model_use&) const = default;
};

/// \brief What a side process knows of its upstream at one moment.
struct load_report {
    std::string upstream;
    std::uint32_t queued { 0 };
    std::uint32_t running { 0 };
    std::uint32_t slots { 0 };
    std::uint64_t freeMemoryMb { 0 };
    std::uint32_t reportAgeMs { 0 };
    std::uint32_t waitMs { 0 };
    bool draining { false };
    std::vector<std::string> residentModels;
    std::vector<std::uint64_t> cachedPrefixes;
    /// Models whose loading was ordered and that are not usable yet.
    std::vector<std::string> loadingModels;
    std::vector<model_use> modelUses;

    auto operator<=>(const load_report&) const = default;
};

/// \brief Entry to side: run this request on the upstream.
struct request_message {
    std::uint64_t id { 0 };
    std::string team;
    std::string traceparent;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    std::string model;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    std::uint32_t deadlineMs { 0 };
    bool stream { false };
    bool idempotent { false };
    std::string idempotencyKey;
    std::uint32_t tokens { 0 };

    auto operator<=>(const request_message&) const = default;
};

/// \brief Side to entry: status and headers of an answer.
struct answer_head {
    std::uint64_t id { 0 };
    std::uint16_t status { 0 };
    std::vector<header_field> headers;

    auto operator<=>(const answer_head&) const = default;
};

/// \brief Side to entry: a piece of an answer's body.
struct answer_data {
    std::uint64_t id { 0 };
    std::uint32_t sequence { 0 };
    std::string bytes;

    auto operator<=>(const answer_data&) const = default;
};

/// \brief Side to entry: the answer is complete if its totals agree with what was received.
struct answer_end {
    std::uint64_t id { 0 };
    std::uint32_t frames { 0 };
    std::uint64_t bytes { 0 };
    std::uint32_t tokensUsed { 0 };
    load_report load;

    auto operator<=>(const answer_end&) const = default;
};

/// \brief Side to entry: the request was given up on.
struct refusal_message {
    std::uint64_t id { 0 };
    sagesaddle::verdict verdict { sagesaddle::verdict::MayHaveRun };
    std::string reason;
    std::string detail;
    std::uint32_t retryAfterMs { 0 };
    load_report load;

    auto operator<=>(const refusal_message&) const = default;
};

/// \brief Entry to side: the caller no longer waits for this request.
struct cancel_message {
    std::uint64_t id { 0 };

    auto operator<=>(const cancel_message&) const = default;
};

/// \brief Entry to side: tell your load now.
struct load_ask {
    std::uint64_t id { 0 };

    auto operator<=>(const load_ask&) const = default;
};

/// \brief Side to entry: the answer to a load_ask.
struct load_answer {
    std::uint64_t id { 0 };
    load_report load;

    auto operator<=>(const load_answer&) const = default;
};

/// \brief Entry to side: what the records below an offset say of the side's upstream.
struct side_view_message {
    std::uint64_t offset { 0 };
    std::string view;

    auto operator<=>(const side_view_message&) const = default;
};

/// \brief Entry to entry: grant credit out of the part of a team's rate that you hold.
struct credit_ask {
    std::uint64_t id { 0 };
    std::string team;
    std::string asker;
    std::uint64_t epoch { 0 };
    double tokens { 0 };
    double settledTotal { 0 };
    double prefetchTokens { 0 };
    double returnedTotal { 0 };
    std::uint32_t share { 0 };

    auto operator<=>(const credit_ask&) const = default;
};

/// \brief Entry to entry: credit granted, or why it was not.
struct credit_grant {
    std::uint64_t id { 0 };
    std::string team;
    std::string holder;
    std::uint64_t epoch { 0 };
    double tokens { 0 };
    double grantedTotal { 0 };
    std::uint32_t retryAfterMs { 0 };
    std::string refusal;
    std::uint32_t share { 0 };

    auto operator<=>(const credit_grant&) const = default;
};

/// \brief Entry to entry: send the log's records from an offset on.
struct tail_ask {
    std::uint64_t id { 0 };
    std::uint64_t from { 0 };

    auto operator<=>(const tail_ask&) const = default;
};

/// \brief Entry to entry: records as the sender holds them, with their age.
struct tail_answer {
    std::uint64_t id { 0 };
    std::uint64_t first { 0 };
    std::uint64_t next { 0 };
    std::uint32_t ageMs { 0 };
    bool logAway { false };
    std::vector<std::string> records;
    std::string snapshot;
    /// Number that the sender's process drew at its start; 0 where an older program sent this.
    std::uint64_t run { 0 };

    auto operator<=>(const tail_answer&) const = default;
};

/// Any message between two processes.
using message
    = std::variant<request_message, answer_head, answer_data, answer_end, refusal_message, cancel_message,
        load_ask, load_answer, side_view_message, credit_ask, credit_grant, tail_ask, tail_answer>;

} // namespace sagesaddle
