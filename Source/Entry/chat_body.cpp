#include "Entry/caller_request.h"
#include "Entry/entry_settings.h"
#include "Entry/refusal.h"
#include "Record/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace sagesaddle {

namespace {

using nlohmann::ordered_json;

/// Bytes of text that are estimated to make one token.
constexpr std::size_t bytesPerToken = 4;
/// Bytes of the first message that are hashed to name its prefix.
constexpr std::size_t hashedPrefixBytes = 256;
/// Largest value of the member `n`: answers generated for one request.
constexpr std::uint32_t maxChoices = 16;
constexpr std::size_t maxModelNameLength = 256;

[[noreturn]] void refuseBody(const std::string& detail)
{
    throw request_refused({ .status = 400, .reason = "bad_request", .detail = detail });
}

ordered_json parseBody(const std::string& body)
{
    ordered_json document;
    try {
        document = ordered_json::parse(body);
    } catch (const nlohmann::json::parse_error& error) {
        throw request_refused({ .status = 400,
            .reason = "bad_json",
            .detail = "the body is no JSON: it is wrong at byte " + std::to_string(error.byte) });
    }
    if (!document.is_object())
        refuseBody("the body must be a JSON object");
    return document;
}

bool isMissing(const ordered_json& document, const char* member)
{
    return !document.contains(member) || document.at(member).is_null();
}

std::string readModel(const ordered_json& document)
{
    if (isMissing(document, "model") || !document.at("model").is_string())
        refuseBody("the member \"model\" must be there and be a text");
    const auto& name = document.at("model").get_ref<const std::string&>();
    if (name.empty() || name.size() > maxModelNameLength)
        refuseBody(
            "the member \"model\" must have 1 to " + std::to_string(maxModelNameLength) + " characters");
    return name;
}

bool readStream(const ordered_json& document)
{
    if (isMissing(document, "stream"))
        return false;
    if (!document.at("stream").is_boolean())
        refuseBody("the member \"stream\" must be true or false");
    return document.at("stream").get<bool>();
}

std::optional<std::uint32_t> readCount(
    const ordered_json& document, const char* member, std::uint32_t maximum)
{
    if (isMissing(document, member))
        return std::nullopt;
    const auto& value = document.at(member);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < 1 || value.get<std::uint64_t>() > maximum)
        refuseBody("the member \"" + std::string(member) + "\" must be a whole number from 1 to "
            + std::to_string(maximum));
    return value.get<std::uint32_t>();
}

// If the request does not limit the length of the answer, adds the default limit to it, so that no answer
// becomes longer than what was charged.
std::uint32_t limitAnswerTokens(ordered_json& document, const request_limits& limits)
{
    const auto maxCompletionTokens = readCount(document, "max_completion_tokens", limits.maxAnswerTokens);
    const auto maxTokens = readCount(document, "max_tokens", limits.maxAnswerTokens);
    if (maxCompletionTokens || maxTokens)
        return std::max(maxCompletionTokens.value_or(0), maxTokens.value_or(0));
    document["max_tokens"] = limits.defaultAnswerTokens;
    return limits.defaultAnswerTokens;
}

const ordered_json& readMessages(const ordered_json& document)
{
    if (isMissing(document, "messages") || !document.at("messages").is_array()
        || document.at("messages").empty())
        refuseBody("the member \"messages\" must be there and be a list with at least one message");
    for (const auto& message : document.at("messages")) {
        if (!message.is_object() || !message.contains("role") || !message.at("role").is_string())
            refuseBody("each of \"messages\" must be an object with a text \"role\"");
    }
    return document.at("messages");
}

// Engines identify a cached prompt prefix by the xxHash64, with seed 0, of the first bytes of the first
// message.
std::vector<std::uint64_t> prefixHashes(const ordered_json& messages)
{
    const auto& first = messages.front();
    if (!first.contains("content") || !first.at("content").is_string())
        return {};
    const auto& text = first.at("content").get_ref<const std::string&>();
    return { XXH64(text.data(), std::min(text.size(), hashedPrefixBytes), 0) };
}

// Bytes that the engine reads as the prompt: the text of the messages, and the JSON of content that is not
// plain text and of tools, functions and the response format.
std::size_t promptBytes(const ordered_json& document)
{
    std::size_t bytes = 0;
    for (const auto& message : document.at("messages")) {
        for (const auto& [member, value] : message.items()) {
            if (member != "role" && !value.is_null())
                bytes += value.is_string() ? value.get_ref<const std::string&>().size()
                                           : formatJsonText(value).size();
        }
    }
    for (const char* member : { "tools", "functions", "response_format" }) {
        if (!isMissing(document, member))
            bytes += formatJsonText(document.at(member)).size();
    }
    return bytes;
}

} // namespace

chat_body parseChatBody(const std::string& body, const request_limits& limits)
{
    ordered_json document = parseBody(body);
    chat_body result;
    result.model = readModel(document);
    result.stream = readStream(document);
    const ordered_json& messages = readMessages(document);
    result.prefixes = prefixHashes(messages);
    const std::size_t promptTokens = (promptBytes(document) + bytesPerToken - 1) / bytesPerToken;
    const std::uint32_t choices = readCount(document, "n", maxChoices).value_or(1);
    const double answerTokens = limitAnswerTokens(document, limits);
    result.body = formatJsonText(document);
    result.tokens = static_cast<double>(promptTokens) + answerTokens * choices;
    return result;
}

} // namespace sagesaddle
