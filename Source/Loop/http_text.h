#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

/// \brief A header field of an HTTP message, spelled as received.
struct http_field {
    std::string name;
    std::string value;

    auto operator<=>(const http_field&) const = default;
};

/// \brief The head of an HTTP message.
struct http_head {
    std::string method;
    std::string target;
    /// Status of an answer; 0 in a request.
    int status { 0 };
    std::vector<http_field> fields;
    /// Whether the connection may be used for another message.
    bool keepsAlive { true };
    /// Whether the message itself tells where it ends. An answer that does not ends when its connection is
    /// closed.
    bool isDelimited { true };

    /// \return the value of the first field of that name, compared without regard to case; nullptr if there
    /// is none.
    const std::string* find(std::string_view name) const;

    /// \return the memory that the head occupies, in bytes; short fields occupy far more than their text.
    std::size_t heldBytes() const;
};

/// \return whether two texts, such as the names of header fields, are equal without regard to the case of
/// ASCII letters.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// \return whether a field is hop-by-hop: it concerns one connection and must not be forwarded.
bool isHopByHopField(std::string_view name);

/// \return the tokens that the Connection fields of the head list, in lower case.
std::set<std::string> connectionTokens(const http_head& head);

/// \return whether a Connection field of the head lists the token, such as the name of a field that must not
/// be forwarded.
bool isListedInConnection(const http_head& head, std::string_view token);

/// \return the reason phrase of a status; "Status" for an unknown one.
std::string_view reasonPhrase(int status);

/// Appends a chunk of a chunked body; nothing for no bytes, since an empty chunk would end the body.
void appendChunk(std::string& out, std::string_view bytes);

/// Ends a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// Appends the line of a header field.
void appendField(std::string& out, std::string_view name, std::string_view value);

} // namespace sagesaddle
