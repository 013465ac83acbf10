#include "Entry/refusal.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace sagesaddle {

namespace {

constexpr std::string_view problemTypes = "https://sagesaddle.example/problems/";

constexpr std::array<std::pair<std::string_view, std::uint16_t>, 12> reasonStatuses { {
    { "already_claimed", 409 },
    { "key_too_old", 409 },
    { "team_rate", 429 },
    { "request_over_burst", 429 },
    { "rate_holder_away", 503 },
    { "unknown_model", 404 },
    { "deadline", 504 },
    { "queue_full", 503 },
    { "no_upstream", 503 },
    { "no_memory", 503 },
    { "model_not_loaded", 503 },
    { "upstream_failed", 502 },
} };

constexpr std::array<std::string_view, 8> overloadReasons { "deadline", "entry_overloaded", "queue_full",
    "no_upstream", "no_memory", "model_not_loaded", "model_loading", "rate_holder_away" };

std::string titleForStatus(std::uint16_t status)
{
    switch (status) {
    case 400:
        return "The request is not valid";
    case 401:
        return "The key is not accepted";
    case 404:
        return "There is nothing under that name";
    case 409:
        return "The call was claimed before";
    case 413:
        return "The request is too large";
    case 429:
        return "The team's rate is used up";
    case 502:
        return "The upstream broke its answer";
    case 504:
        return "The request cannot be answered in time";
    default:
        return "The request cannot be served now";
    }
}

} // namespace

std::uint16_t statusOfReason(std::string_view reason, verdict attemptVerdict)
{
    for (const auto& [known, status] : reasonStatuses) {
        if (known == reason)
            return status;
    }
    return attemptVerdict == verdict::NotRun ? 503 : 502;
}

bool isOverload(std::string_view reason)
{
    return std::find(overloadReasons.begin(), overloadReasons.end(), reason) != overloadReasons.end();
}

std::string formatProblem(const refusal& why, const std::string& traceId)
{
    nlohmann::ordered_json document;
    document["type"] = std::string(problemTypes) + why.reason;
    document["title"] = titleForStatus(why.status);
    document["status"] = why.status;
    document["detail"] = why.detail;
    document["verdict"] = nameOf(why.runVerdict);
    document["reason"] = why.reason;
    if (why.retryAfterMs > 0)
        document["retry_after_ms"] = why.retryAfterMs;
    document["trace_id"] = traceId;
    return document.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::uint32_t retryAfterSeconds(std::uint32_t retryAfterMs)
{
    return retryAfterMs / 1000 + (retryAfterMs % 1000 == 0 ? 0 : 1);
}

} // namespace sagesaddle
