#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

/// \brief A header field of an HTTP message, spelled as it came.
struct http_field {
    std::string name;
    std::string value;

    auto operator<=>(const http_field&) const = default;
};

/// \brief The head of an HTTP message.
struct http_head {
    std::string method;
    std::string target;
    int status { 0 };
    std::vector<http_field> fields;
    bool keepsAlive { true };
    /// Whether the message says where it ends; an answer that does not ends with its connection.
    bool isDelimited { true };

    /// \return the value of the first field of that name in any case, or nullptr.
    const std::string* find(std::string_view name) const;
};

/// \return whether two header names are the same, case aside.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// \return whether a field concerns one connection only and is never forwarded.
bool isHopByHopField(std::string_view name);

/// \return whether the head's Connection field names a token.
bool isListedInConnection(const http_head& head, std::string_view token);

/// \return the reason phrase of a status.
std::string_view reasonPhrase(int status);

/// Appends a chunk of a chunked body.
void appendChunk(std::string& out, std::string_view bytes);

/// The end of a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// Appends a field's line.
void appendField(std::string& out, std::string_view name, std::string_view value);

} // namespace sagesaddle
