#pragma once

#include "Base/clock.h"
#include "Base/priority.h"
#include "Record/fleet_state.h"
#include "Serve/http_server.h"
#include "Wire/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

struct request_limits;

/// \brief A caller's request, checked, as it is sent on.
struct caller_request {
    std::string method;
    /// Path and query.
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    /// Empty on an open route.
    std::string team;
    std::string model;
    std::string service;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    bool stream { false };
    bool idempotent { true };
    /// As the caller gave it; empty where it gave none.
    std::string idempotencyKey;
    /// Charged against the team's rate.
    double tokens { 0 };
    milliseconds timeout { 0 };
    std::vector<std::uint64_t> prefixes;
};

/// \brief What a chat request's body says.
struct chat_body {
    std::string model;
    bool stream { false };
    /// Prompt estimate and longest answer.
    double tokens { 0 };
    /// The body as it is sent on: written anew, so that the engine cannot read it differently.
    std::string body;
    /// Hashes of the prompt after each message, the longest last.
    std::vector<std::uint64_t> prefixes;
};

/// Checks a request's header fields for anything that two readers could understand differently.
/// \throws request_refused with status 400 or 431 naming the field
void checkHeaders(const http_call::header_list& headers);

/// \return the secret of the one `Authorization: Bearer` header, or nothing where there is no key.
/// \throws request_refused where keys are doubled or of another form
std::optional<std::string> bearerSecret(const http_call::header_list& headers);

/// \return the key that the secret belongs to.
/// \throws request_refused with status 401 where it is unknown or withdrawn
const api_key& authenticate(const fleet_state& state, const std::optional<std::string>& secret);

/// \return the header fields that an upstream may see: none of a key, of one hop, or of ours.
std::vector<header_field> forwardedHeaders(const http_call::header_list& headers);

/// Reads a chat request's body.
/// \throws request_refused with status 400 naming the member that is wrong
chat_body parseChatBody(const std::string& body, const request_limits& limits);

/// \return the class asked for in `X-Priority`, or the fallback.
/// \throws request_refused where the header names no class
priority requestedPriority(const http_call::header_list& headers, priority fallback);

/// \return the time asked for in `X-Request-Timeout-Ms`, at most the greatest allowed, or the fallback.
/// \throws request_refused where the header is no whole number of milliseconds
milliseconds requestedTimeout(
    const http_call::header_list& headers, milliseconds fallback, milliseconds greatest);

/// \return the caller's `Idempotency-Key`, or an empty text.
/// \throws request_refused where it is doubled, too long or not printable
std::string requestedIdempotencyKey(const http_call::header_list& headers);

} // namespace sagesaddle
