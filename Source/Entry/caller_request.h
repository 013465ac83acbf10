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

/// \brief A validated request of a caller, as it is forwarded to an upstream.
struct caller_request {
    std::string method;
    /// Path and query.
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    /// Empty on an open route, which needs no API key.
    std::string team;
    /// Model or adapter; empty for a service.
    std::string model;
    /// Service; empty for a model.
    std::string service;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    /// The caller asked for an event stream.
    bool stream { false };
    /// May be sent again although it may have run.
    bool idempotent { true };
    /// Key of the caller; empty if it sent none.
    std::string idempotencyKey;
    /// Tokens charged to the team's rate.
    double tokens { 0 };
    /// Time from the start of the request until its deadline.
    milliseconds timeout { 0 };
    /// Hashes of the prompt's prefixes, to find an engine that has them cached.
    std::vector<std::uint64_t> prefixes;
};

/// \brief Parsed body of a chat request.
struct chat_body {
    std::string model;
    bool stream { false };
    /// Upper estimate of the tokens used: estimated prompt and longest possible answer.
    double tokens { 0 };
    /// Body to forward. It is serialized again from the parsed document, since an engine could read ambiguous
    /// JSON, such as duplicate members, differently.
    std::string body;
    /// Hashes of the prompt's prefixes, the longest last.
    std::vector<std::uint64_t> prefixes;
};

/// Rejects header fields that two HTTP implementations could interpret differently (request smuggling).
/// \throws request_refused with status 400 or 431; the detail names the field
void checkHeaders(const http_call::header_list& headers);

/// \return the secret in the `Authorization: Bearer` header, or nothing if there is no such header.
/// \throws request_refused with status 400 if there are several keys, 401 if the key is sent in another form
std::optional<std::string> bearerSecret(const http_call::header_list& headers);

/// \return the API key that the secret belongs to; its team is known.
/// \throws request_refused with status 401 if the secret is missing, unknown or withdrawn
const api_key& authenticate(const fleet_state& state, const std::optional<std::string>& secret);

/// \return the header fields to forward to an upstream, without those that carry API keys, are hop-by-hop, or
/// are set or reserved by the entry.
std::vector<header_field> forwardedHeaders(const http_call::header_list& headers);

/// Parses and validates the body of a chat request.
/// \throws request_refused with status 400; the detail names the invalid member
chat_body parseChatBody(const std::string& body, const request_limits& limits);

/// \return the priority given in `X-Priority`, or the default.
/// \throws request_refused with status 400 if the header names no priority
priority requestedPriority(const http_call::header_list& headers, priority defaultValue);

/// \return the timeout given in `X-Request-Timeout-Ms`, or the default; at most the maximum.
/// \throws request_refused with status 400 unless the header is a whole number of milliseconds above 0
milliseconds requestedTimeout(
    const http_call::header_list& headers, milliseconds defaultValue, milliseconds maximum);

/// \return the caller's `Idempotency-Key`, or an empty string.
/// \throws request_refused with status 400 if the header is repeated, empty, too long or not printable
std::string requestedIdempotencyKey(const http_call::header_list& headers);

} // namespace sagesaddle
