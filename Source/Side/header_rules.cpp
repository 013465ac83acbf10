#include "Side/header_rules.h"

#include "Base/http_status.h"
#include "Base/letter_case.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace sagesaddle {

namespace {

constexpr std::array<std::string_view, 5> apiKeyHeaders { "authorization", "proxy-authorization", "x-api-key",
    "api-key", "x-sagesaddle-key" };

// Headers that concern one connection; each hop sets its own.
constexpr std::array<std::string_view, 12> hopByHopHeaders { "connection", "content-length", "expect", "host",
    "keep-alive", "proxy-authenticate", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
    "proxy-authorization" };

// Set only by this process, so that no caller can pass itself off as another team.
constexpr std::array<std::string_view, 5> platformHeaders { "x-sagesaddle-team", "x-request-id",
    "traceparent", "idempotency-key", "x-priority" };

bool isOneOf(const auto& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string requestIdOf(const request_message& request, const trace_context& span)
{
    for (const header_field& field : request.headers) {
        if (toLowerAscii(field.name) == "x-request-id")
            return field.value;
    }
    return span.traceId;
}

} // namespace

std::optional<std::string> findApiKeyHeader(const std::vector<header_field>& headers)
{
    for (const header_field& field : headers) {
        if (isOneOf(apiKeyHeaders, toLowerAscii(field.name)))
            return field.name;
    }
    return std::nullopt;
}

std::vector<std::pair<std::string, std::string>> upstreamHeaders(
    const request_message& request, const trace_context& span)
{
    std::vector<std::pair<std::string, std::string>> result;
    for (const header_field& field : request.headers) {
        const std::string name = toLowerAscii(field.name);
        if (!isOneOf(hopByHopHeaders, name) && !isOneOf(platformHeaders, name)
            && !isOneOf(apiKeyHeaders, name))
            result.emplace_back(field.name, field.value);
    }
    if (!request.team.empty())
        result.emplace_back("X-Sagesaddle-Team", request.team);
    result.emplace_back("X-Request-Id", requestIdOf(request, span));
    result.emplace_back("traceparent", formatTraceparent(span));
    if (!request.idempotencyKey.empty())
        result.emplace_back("Idempotency-Key", request.idempotencyKey);
    result.emplace_back("X-Priority", nameOf(request.priority));
    return result;
}

std::vector<header_field> callerHeaders(const std::vector<std::pair<std::string, std::string>>& headers)
{
    std::vector<header_field> result;
    for (const auto& [name, value] : headers) {
        if (!isOneOf(hopByHopHeaders, toLowerAscii(name)))
            result.push_back({ name, value });
    }
    return result;
}

bool hasDelimitedBody(const std::string& method, std::uint16_t status,
    const std::vector<std::pair<std::string, std::string>>& headers)
{
    if (method == "HEAD" || status == statusNoContent || status == statusNotModified)
        return true;
    return std::any_of(headers.begin(), headers.end(), [](const auto& field) {
        const std::string name = toLowerAscii(field.first);
        if (name == "transfer-encoding")
            return toLowerAscii(field.second).find("chunked") != std::string::npos;
        return name == "content-length";
    });
}

} // namespace sagesaddle
