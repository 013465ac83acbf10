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

/// \brief Recent demand for a model at one upstream, counting requests whether they were answered or not.
struct model_use {
    std::string model;
    double tokensPerSecond { 0 };

    auto operator<=>(const model_use&) const = default;
};

/// \brief State of an upstream as known to its side process, the process that runs beside it on the same
/// host.
struct load_report {
    std::string upstream;
    std::uint32_t queued { 0 };
    std::uint32_t running { 0 };
    std::uint32_t slots { 0 };
    std::uint64_t freeMemoryMb { 0 };
    /// Age of the upstream's own last report, in milliseconds.
    std::uint32_t reportAgeMs { 0 };
    /// Expected wait of a new interactive request in the queue, in milliseconds.
    std::uint32_t waitMs { 0 };
    bool draining { false };
    std::vector<std::string> residentModels;
    /// Hashes of prompt prefixes that the upstream recently reported as cached; hints only.
    std::vector<std::uint64_t> cachedPrefixes;
    /// Models that were ordered to be loaded and are not ready yet.
    std::vector<std::string> loadingModels;
    std::vector<model_use> modelUses;

    auto operator<=>(const load_report&) const = default;
};

/// \brief Entry to side: runs a request on the upstream.
struct request_message {
    std::uint64_t id { 0 };
    std::string team;
    std::string traceparent;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    /// Model or adapter for an engine; empty for a service that is not an engine.
    std::string model;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    /// Time left until the deadline when the frame was sent, in milliseconds.
    std::uint32_t deadlineMs { 0 };
    bool stream { false };
    bool idempotent { false };
    std::string idempotencyKey;
    /// Tokens charged for the request: its weight in the fair queue.
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

/// \brief Side to entry: a part of the body of an answer.
struct answer_data {
    std::uint64_t id { 0 };
    /// Number of this frame among the data frames of the answer, from 0.
    std::uint32_t sequence { 0 };
    std::string bytes;

    auto operator<=>(const answer_data&) const = default;
};

/// \brief Side to entry: end of an answer, which is complete only if the totals here agree with what was
/// received.
struct answer_end {
    std::uint64_t id { 0 };
    /// Data frames of the answer.
    std::uint32_t frames { 0 };
    /// Bytes in these frames.
    std::uint64_t bytes { 0 };
    /// Tokens that the upstream reported as used; 0 if it reported none.
    std::uint32_t tokensUsed { 0 };
    load_report load;

    auto operator<=>(const answer_end&) const = default;
};

/// \brief Side to entry: the request failed or was rejected.
struct refusal_message {
    std::uint64_t id { 0 };
    sagesaddle::verdict verdict { sagesaddle::verdict::MayHaveRun };
    std::string reason;
    std::string detail;
    std::uint32_t retryAfterMs { 0 };
    load_report load;

    auto operator<=>(const refusal_message&) const = default;
};

/// \brief Entry to side: cancels a request whose caller no longer waits for it.
struct cancel_message {
    std::uint64_t id { 0 };

    auto operator<=>(const cancel_message&) const = default;
};

/// \brief Entry to side: requests a load_report.
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

/// \brief Entry to side: the state of the side's upstream according to the records before an offset. A
/// message with a lower offset never replaces one with a higher offset.
struct side_view_message {
    std::uint64_t offset { 0 };
    /// The part of the fleet's state that concerns the upstream, as JSON.
    std::string view;

    auto operator<=>(const side_view_message&) const = default;
};

/// \brief Entry to entry: asks the holder of a share of a team's rate for credit.
struct credit_ask {
    std::uint64_t id { 0 };
    std::string team;
    std::string asker;
    std::uint64_t epoch { 0 };
    /// Tokens asked for.
    double tokens { 0 };
    /// All tokens of this holder and epoch that the asker has spent or returned so far.
    double settledTotal { 0 };
    /// Part of `tokens` that no request waits for yet.
    double prefetchTokens { 0 };
    /// Part of `settledTotal` that was returned unspent.
    double returnedTotal { 0 };
    /// Number of the share among the holder's shares of the team.
    std::uint32_t share { 0 };

    auto operator<=>(const credit_ask&) const = default;
};

/// \brief Entry to entry: answer to a credit_ask, with the credit granted or the reason why none was.
struct credit_grant {
    std::uint64_t id { 0 };
    std::string team;
    std::string holder;
    std::uint64_t epoch { 0 };
    double tokens { 0 };
    /// All tokens that this holder has granted to this asker in the epoch, including this grant.
    double grantedTotal { 0 };
    std::uint32_t retryAfterMs { 0 };
    /// Empty, or why nothing was granted: `rate`, `epoch`, `not_holder` or `not_member`.
    std::string refusal;
    std::uint32_t share { 0 };

    auto operator<=>(const credit_grant&) const = default;
};

/// \brief Entry to entry: asks for the log's records from an offset on, since the sender cannot reach the
/// log.
struct tail_request {
    std::uint64_t id { 0 };
    std::uint64_t from { 0 };

    auto operator<=>(const tail_request&) const = default;
};

/// \brief Entry to entry: answer to a tail_request, with the records that the sender has, and their age.
struct tail_answer {
    std::uint64_t id { 0 };
    /// Offset of the first record.
    std::uint64_t first { 0 };
    /// Offset after the last record.
    std::uint64_t next { 0 };
    /// Time since the sender last read the log itself up to its end, in milliseconds.
    std::uint32_t ageMs { 0 };
    /// Whether the sender cannot reach the log either.
    bool isLogUnreachable { false };
    /// The records, as JSON.
    std::vector<std::string> records;
    /// Snapshot of the state before `first`, as JSON, if the records asked for no longer exist; else empty.
    std::string snapshot;
    /// Random number that the sender's process chose at its start; 0 if the sender is an older version.
    std::uint64_t run { 0 };

    auto operator<=>(const tail_answer&) const = default;
};

/// Any message between entries and side processes.
using message
    = std::variant<request_message, answer_head, answer_data, answer_end, refusal_message, cancel_message,
        load_ask, load_answer, side_view_message, credit_ask, credit_grant, tail_request, tail_answer>;

} // namespace sagesaddle
