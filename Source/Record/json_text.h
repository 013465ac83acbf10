#pragma once

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>

namespace sagesaddle {

/// Parses JSON text of any content, nested no deeper than records need.
/// \param what name of the text, for error messages
/// \throws record_error
nlohmann::json parseJsonText(std::string_view text, const std::string& what);

/// \return the value as compact JSON text; bytes that are not UTF-8 are replaced, so that it never fails.
std::string formatJsonText(const nlohmann::ordered_json& value);

/// \return the bytes in lower-case hexadecimal.
std::string formatHex(std::span<const unsigned char> bytes);

/// \return the SHA-256 of the text in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

} // namespace sagesaddle
