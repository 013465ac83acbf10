#include "Record/json_text.h"

#include "Record/record_error.h"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>

namespace sagesaddle {

namespace {

// More than records need.
constexpr int maxNestingDepth = 16;

} // namespace

nlohmann::json parseJsonText(std::string_view text, const std::string& what)
{
    const auto checkDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        if (depth > maxNestingDepth)
            throw record_error(
                what + " is nested deeper than " + std::to_string(maxNestingDepth) + " levels");
        return true;
    };
    try {
        return nlohmann::json::parse(text, checkDepth);
    } catch (const nlohmann::json::exception& error) {
        throw record_error(what + " is not valid JSON: " + error.what());
    }
}

std::string formatJsonText(const nlohmann::ordered_json& value)
{
    return value.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string formatHex(std::span<const unsigned char> bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return formatHex(digest);
}

} // namespace sagesaddle
