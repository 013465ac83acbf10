#pragma once

#include <optional>
#include <string_view>

namespace sagesaddle {

/// \brief Why the gateway ended a request itself instead of relaying an upstream's answer.
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
    PromptQuarantined,
    Draining,
    ZoneEvacuated,
    CallerMemory,
};

/// \brief What the caller is told when its request is refused.
struct refusal_response {
    int status { 503 };
    /// Value of the field `reason` in the answer, the log and the metrics.
    std::string_view name;
    /// Whether the verdict is `not_run`: the request has not run on any upstream and never will.
    bool isNotRun { true };
};

/// \return status, name and verdict for a reason.
refusal_response refusalOf(refusal_reason reason);

} // namespace sagesaddle
