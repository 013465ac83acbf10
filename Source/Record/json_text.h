#pragma once

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Parses JSON from an untrusted source.
/// \param what what the text is, for error messages, such as `record`
/// \throws record_error if it is not JSON, or nested deeper than 16 levels, which is more than records need
nlohmann::json parseJsonText(std::string_view text, const std::string& what);

/// \return the value as JSON text without white space. Bytes that are not UTF-8 are replaced, so that the
/// conversion never throws.
std::string formatJsonText(const nlohmann::ordered_json& value);

/// \return the bytes in lower-case hexadecimal.
std::string formatHex(std::span<const unsigned char> bytes);

/// \return the SHA-256 of the text in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

} // namespace sagesaddle
