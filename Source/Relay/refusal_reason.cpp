#include "Relay/refusal_reason.h"

namespace sagesaddle {

refusal_response refusalOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::BadRequest:
        return { 400, "bad_request", true };
    case refusal_reason::HeadTooLarge:
        return { 431, "head_too_large", true };
    case refusal_reason::BodyTooLarge:
        return { 413, "body_too_large", true };
    case refusal_reason::UnknownRoute:
        return { 404, "unknown_route", true };
    case refusal_reason::UnknownKey:
        return { 401, "unknown_key", true };
    case refusal_reason::NoConfiguration:
        return { 503, "no_configuration", true };
    case refusal_reason::KeysNotProven:
        return { 503, "keys_not_proven", true };
    case refusal_reason::OverLimit:
        return { 429, "over_limit", true };
    case refusal_reason::LimitUnknown:
        return { 503, "limit_unknown", true };
    case refusal_reason::NoUpstream:
        return { 503, "no_upstream", true };
    case refusal_reason::ModelAbsent:
        return { 503, "model_absent", true };
    case refusal_reason::Overloaded:
        return { 503, "overloaded", true };
    case refusal_reason::DeclinedByUpstream:
        return { 503, "declined_by_upstream", true };
    case refusal_reason::NotSentInTime:
        return { 503, "not_sent_in_time", true };
    case refusal_reason::NoAnswerInTime:
        return { 504, "no_answer_in_time", false };
    case refusal_reason::UpstreamBroke:
        return { 502, "upstream_broke", false };
    case refusal_reason::UpstreamGarbled:
        return { 502, "upstream_garbled", false };
    case refusal_reason::PromptQuarantined:
        return { 503, "prompt_quarantined", true };
    case refusal_reason::Draining:
        return { 503, "draining", true };
    case refusal_reason::ZoneEvacuated:
        return { 503, "zone_evacuated", true };
    case refusal_reason::CallerMemory:
        return { 503, "caller_memory", true };
    }
    return { 503, "unknown", true };
}

} // namespace sagesaddle
