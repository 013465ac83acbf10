#pragma once

#include <optional>
#include <string_view>

namespace sagesaddle {

/// \brief Why the system itself ended a request.
enum class refusal_reason {
    BadRequest,
    HeadTooLarge,
    BodyTooLarge,
    UnknownRoute,
    UnknownKey,
    NoConfiguration,
    KeysNotProven,
    OverLimit,
    LimitUnknown,
    NoUpstream,
    ModelAbsent,
    Overloaded,
    DeclinedByUpstream,
    NotSentInTime,
    NoAnswerInTime,
    UpstreamBroke,
    UpstreamGarbled,
    Draining,
};

/// \brief How a reason is told to the caller.
struct refusal_response {
    int status { 503 };
    std::string_view name;
    /// Whether the request has not run and never will.
    bool isNotRun { true };
};

/// \return status, name and verdict of a reason; the one table of them.
refusal_response refusalOf(refusal_reason reason);

} // namespace sagesaddle
