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

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t prefixBytes = 256;
constexpr std::uint32_t maxChoices = 16;
constexpr std::size_t maxModelNameLength = 256;

[[noreturn]] void refuseBody(const std::string& detail)
{
    throw request_refused({ .status = 400, .reason = "bad_request", .detail = detail });
}

ordered_json parseObject(const std::string& body)
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

bool isAbsent(const ordered_json& document, const char* member)
{
    return !document.contains(member) || document.at(member).is_null();
}

std::string modelOf(const ordered_json& document)
{
    if (isAbsent(document, "model") || !document.at("model").is_string())
        refuseBody("the member \"model\" must be there and be a text");
    const auto& name = document.at("model").get_ref<const std::string&>();
    if (name.empty() || name.size() > maxModelNameLength)
        refuseBody(
            "the member \"model\" must have 1 to " + std::to_string(maxModelNameLength) + " characters");
    return name;
}

bool streamOf(const ordered_json& document)
{
    if (isAbsent(document, "stream"))
        return false;
    if (!document.at("stream").is_boolean())
        refuseBody("the member \"stream\" must be true or false");
    return document.at("stream").get<bool>();
}

std::optional<std::uint32_t> countOf(const ordered_json& document, const char* member, std::uint32_t greatest)
{
    if (isAbsent(document, member))
        return std::nullopt;
    const auto& value = document.at(member);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < 1
        || value.get<std::uint64_t>() > greatest)
        refuseBody("the member \"" + std::string(member) + "\" must be a whole number from 1 to "
            + std::to_string(greatest));
    return value.get<std::uint32_t>();
}

// Where none is named the standard is written in, so that no answer outgrows what was charged.
std::uint32_t boundAnswer(ordered_json& document, const request_limits& limits)
{
    const auto newer = countOf(document, "max_completion_tokens", limits.maxAnswerTokens);
    const auto older = countOf(document, "max_tokens", limits.maxAnswerTokens);
    if (newer || older)
        return std::max(newer.value_or(0), older.value_or(0));
    document["max_tokens"] = limits.defaultAnswerTokens;
    return limits.defaultAnswerTokens;
}

const ordered_json& messagesOf(const ordered_json& document)
{
    if (isAbsent(document, "messages") || !document.at("messages").is_array()
        || document.at("messages").empty())
        refuseBody("the member \"messages\" must be there and be a list with at least one message");
    for (const auto& message : document.at("messages")) {
        if (!message.is_object() || !message.contains("role") || !message.at("role").is_string())
            refuseBody("each of \"messages\" must be an object with a text \"role\"");
    }
    return document.at("messages");
}

// Engines name a cached prompt prefix by xxHash64, seed 0, of the first message's first bytes.
std::vector<std::uint64_t> prefixHashes(const ordered_json& messages)
{
    const auto& first = messages.front();
    if (!first.contains("content") || !first.at("content").is_string())
        return {};
    const auto& text = first.at("content").get_ref<const std::string&>();
    return { XXH64(text.data(), std::min(text.size(), prefixBytes), 0) };
}

// Bytes of what the engine reads as prompt: the messages' texts, and whole what is no plain text.
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
        if (!isAbsent(document, member))
            bytes += formatJsonText(document.at(member)).size();
    }
    return bytes;
}

} // namespace

chat_body parseChatBody(const std::string& body, const request_limits& limits)
{
    ordered_json document = parseObject(body);
    chat_body result;
    result.model = modelOf(document);
    result.stream = streamOf(document);
    const ordered_json& messages = messagesOf(document);
    result.prefixes = prefixHashes(messages);
    const std::size_t promptTokens = (promptBytes(document) + bytesPerToken - 1) / bytesPerToken;
    const std::uint32_t choices = countOf(document, "n", maxChoices).value_or(1);
    const double answerTokens = boundAnswer(document, limits);
    result.body = formatJsonText(document);
    result.tokens = static_cast<double>(promptTokens) + answerTokens * choices;
    return result;
}

} // namespace sagesaddle
