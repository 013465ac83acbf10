#pragma once

#include "Watch/trace_context.h"
#include "Wire/messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sagesaddle {

/// \return the name of a header that may hold a caller's key, or nothing where there is none.
std::optional<std::string> findApiKeyHeader(const std::vector<header_field>& headers);

/// \return the headers that the upstream gets: the caller's without those of the connection, and
///         the team, request id, trace, idempotency key and priority as the system knows them.
/// \param span the hop to the upstream
std::vector<std::pair<std::string, std::string>> upstreamHeaders(
    const request_message& request, const trace_context& span);

/// \return an answer's headers without those that concern only the connection to the upstream.
std::vector<header_field> callerHeaders(const std::vector<std::pair<std::string, std::string>>& headers);

/// \return whether an answer's end can be told from a broken connection.
bool hasDelimitedBody(const std::string& method, std::uint16_t status,
    const std::vector<std::pair<std::string, std::string>>& headers);

} // namespace sagesaddle
