#include "Entry/caller_request.h"

#include "Base/letter_case.h"
#include "Entry/entry_settings.h"
#include "Entry/refusal.h"
#include "Record/json_text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string_view>

namespace sagesaddle {

namespace {

using header_list = http_call::header_list;

/// CivetWeb passes on at most this many header fields and drops the others, so a request with this many may
/// have had more.
constexpr std::size_t maxHeaders = 64;
constexpr std::size_t maxIdempotencyKeyLength = 128;
constexpr std::string_view bearerScheme = "bearer ";

/// Headers that upstreams do not get: they carry API keys, are hop-by-hop, or are set by the entry.
constexpr std::array<std::string_view, 24> nonForwardedRequestHeaders { "authorization",
    "proxy-authorization", "proxy-authenticate", "x-api-key", "api-key", "connection", "keep-alive",
    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect",
    "traceparent", "x-request-id", "idempotency-key", "x-priority", "x-request-timeout-ms", "http2-settings",
    "forwarded", "x-forwarded-for", "x-real-ip" };

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

[[noreturn]] void refuse(std::uint16_t status, const std::string& reason, const std::string& detail)
{
    throw request_refused({ .status = status, .reason = reason, .detail = detail });
}

bool isTokenCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0
        || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

std::vector<std::string_view> headerValues(const header_list& headers, std::string_view lowerName)
{
    std::vector<std::string_view> values;
    for (const auto& [name, value] : headers) {
        if (name.size() == lowerName.size() && toLowerAscii(name) == lowerName)
            values.emplace_back(value);
    }
    return values;
}

// \return the value of a header, or nothing if it is absent.
// \throws request_refused with status 400 and the reason if the header is repeated
std::optional<std::string_view> singleValue(
    const header_list& headers, std::string_view lowerName, const std::string& reason)
{
    const auto values = headerValues(headers, lowerName);
    if (values.size() > 1)
        refuse(400, reason, "the header " + std::string(lowerName) + " came more than once; send it once");
    if (values.empty())
        return std::nullopt;
    return trim(values.front());
}

void checkLength(const header_list& headers)
{
    const auto length = singleValue(headers, "content-length", "ambiguous_length");
    const auto coding = singleValue(headers, "transfer-encoding", "ambiguous_length");
    if (length && coding)
        refuse(
            400, "ambiguous_length", "Content-Length and Transfer-Encoding came together; send one of them");
    if (length && (length->empty() || length->find_first_not_of("0123456789") != std::string_view::npos))
        refuse(400, "bad_header", "Content-Length is no whole number; send the body's length in bytes");
    if (coding && toLowerAscii(*coding) != "chunked")
        refuse(400, "bad_header", "Transfer-Encoding may only be chunked");
}

std::vector<std::string> namesInConnection(const header_list& headers)
{
    std::vector<std::string> names;
    for (std::string_view rest : headerValues(headers, "connection")) {
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            names.push_back(toLowerAscii(trim(rest.substr(0, comma))));
            rest = comma == std::string_view::npos ? std::string_view {} : rest.substr(comma + 1);
        }
    }
    return names;
}

bool isNeverForwarded(const std::string& lowerName)
{
    return lowerName.starts_with("x-sagesaddle-")
        || std::find(nonForwardedRequestHeaders.begin(), nonForwardedRequestHeaders.end(), lowerName)
        != nonForwardedRequestHeaders.end();
}

} // namespace

void checkHeaders(const header_list& headers)
{
    if (headers.size() >= maxHeaders)
        refuse(431, "too_many_headers",
            "the request has " + std::to_string(maxHeaders) + " header fields or more; send fewer");
    for (const auto& [name, value] : headers) {
        if (!isToken(name))
            refuse(400, "bad_header", "a header field's name has a character that names may not have");
        if (!isFieldValue(value))
            refuse(400, "bad_header", "the header " + name + " has a control character in its value");
    }
    checkLength(headers);
    singleValue(headers, "host", "bad_header");
}

std::optional<std::string> bearerSecret(const header_list& headers)
{
    const auto authorization = singleValue(headers, "authorization", "doubled_key");
    const auto otherKey = singleValue(headers, "x-api-key", "doubled_key");
    if (authorization && otherKey)
        refuse(400, "doubled_key", "Authorization and X-Api-Key came together; send Authorization only");
    if (otherKey)
        refuse(401, "no_key", "X-Api-Key is not read; send the key as \"Authorization: Bearer KEY\"");
    if (!authorization)
        return std::nullopt;
    if (!toLowerAscii(authorization->substr(0, bearerScheme.size())).starts_with(bearerScheme))
        refuse(401, "no_key", "Authorization is of another form; send \"Authorization: Bearer KEY\"");
    return std::string(trim(authorization->substr(bearerScheme.size())));
}

const api_key& authenticate(const fleet_state& state, const std::optional<std::string>& secret)
{
    if (!secret)
        refuse(401, "no_key", "the request has no key; send \"Authorization: Bearer KEY\"");
    const auto found = state.keys.find(sha256Hex(*secret));
    if (found == state.keys.end())
        refuse(401, "unknown_key", "the key is not known; ask the operators for one");
    if (found->second.withdrawn)
        refuse(401, "withdrawn_key", "the key was withdrawn; ask the operators for a new one");
    if (!state.teams.contains(found->second.team))
        refuse(401, "unknown_key", "the key's team is not known; ask the operators");
    return found->second;
}

std::vector<header_field> forwardedHeaders(const header_list& headers)
{
    const auto hopByHop = namesInConnection(headers);
    std::vector<header_field> forwarded;
    for (const auto& [name, value] : headers) {
        const std::string key = toLowerAscii(name);
        if (!isNeverForwarded(key) && std::find(hopByHop.begin(), hopByHop.end(), key) == hopByHop.end())
            forwarded.push_back({ name, value });
    }
    return forwarded;
}

priority requestedPriority(const header_list& headers, priority defaultValue)
{
    const auto name = singleValue(headers, "x-priority", "bad_header");
    if (!name)
        return defaultValue;
    const auto value = parsePriority(toLowerAscii(*name));
    if (!value)
        refuse(400, "bad_header", "X-Priority names no class; send interactive or batch");
    return *value;
}

milliseconds requestedTimeout(const header_list& headers, milliseconds defaultValue, milliseconds maximum)
{
    const auto text = singleValue(headers, "x-request-timeout-ms", "bad_header");
    if (!text)
        return std::min(defaultValue, maximum);
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() || value == 0)
        refuse(400, "bad_header", "X-Request-Timeout-Ms is no whole number of milliseconds above 0");
    return std::min(milliseconds(value), maximum);
}

std::string requestedIdempotencyKey(const header_list& headers)
{
    const auto key = singleValue(headers, "idempotency-key", "bad_header");
    if (!key)
        return {};
    const bool printable
        = std::all_of(key->begin(), key->end(), [](unsigned char c) { return std::isgraph(c) != 0; });
    if (key->empty() || key->size() > maxIdempotencyKeyLength || !printable)
        refuse(400, "bad_header",
            "Idempotency-Key must have 1 to " + std::to_string(maxIdempotencyKeyLength)
                + " printable characters without spaces");
    return std::string(*key);
}

} // namespace sagesaddle
