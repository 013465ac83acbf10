#include "Relay/refusal_reason.h"

namespace sagesaddle {

refusal_response refusalOf(relay_reason reason)
{
    switch (reason) {
    case relay_reason::BadRequest:
        return { 400, "bad_request", true };
    case relay_reason::HeadTooLarge:
        return { 431, "head_too_large", true };
    case relay_reason::BodyTooLarge:
        return { 413, "body_too_large", true };
    case relay_reason::UnknownRoute:
        return { 404, "unknown_route", true };
    case relay_reason::UnknownKey:
        return { 401, "unknown_key", true };
    case relay_reason::NoConfiguration:
        return { 503, "no_configuration", true };
    case relay_reason::KeysNotProven:
        return { 503, "keys_not_proven", true };
    case relay_reason::OverLimit:
        return { 429, "over_limit", true };
    case relay_reason::LimitUnknown:
        return { 503, "limit_unknown", true };
    case relay_reason::NoUpstream:
        return { 503, "no_upstream", true };
    case relay_reason::ModelAbsent:
        return { 503, "model_absent", true };
    case relay_reason::Overloaded:
        return { 503, "overloaded", true };
    case relay_reason::DeclinedByUpstream:
        return { 503, "declined_by_upstream", true };
    case relay_reason::NotSentInTime:
        return { 503, "not_sent_in_time", true };
    case relay_reason::NoAnswerInTime:
        return { 504, "no_answer_in_time", false };
    case relay_reason::UpstreamBroke:
        return { 502, "upstream_broke", false };
    case relay_reason::UpstreamGarbled:
        return { 502, "upstream_garbled", false };
    case relay_reason::Draining:
        return { 503, "draining", true };
    }
    return { 503, "unknown", true };
}

} // namespace sagesaddle
