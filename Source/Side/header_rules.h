#pragma once

#include "Watch/trace_context.h"
#include "Wire/messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sagesaddle {

/// \return the name of a header that may contain an API key of the caller; empty if there is none.
std::optional<std::string> findApiKeyHeader(const std::vector<header_field>& headers);

/// \param span span of the hop to the upstream
/// \return the headers to send to the upstream: the caller's headers without API keys and without those of
///         the connection, then team, request id, trace, idempotency key and priority. Of the latter, only
///         the request id is taken from the caller's headers; the caller's other values are replaced.
std::vector<std::pair<std::string, std::string>> upstreamHeaders(
    const request_message& request, const trace_context& span);

/// \return the headers of the upstream's answer without those of the connection to the upstream.
std::vector<header_field> callerHeaders(const std::vector<std::pair<std::string, std::string>>& headers);

/// \param method method of the request
/// \param headers of the answer, with names in any case
/// \return whether the end of the answer's body can be distinguished from a broken connection: the body has a
///         length, is chunked, or is absent because of the method or the status.
bool hasDelimitedBody(const std::string& method, std::uint16_t status,
    const std::vector<std::pair<std::string, std::string>>& headers);

} // namespace sagesaddle
