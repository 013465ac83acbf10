#include "Loop/http_text.h"

#include "Base/letter_case.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sagesaddle {

namespace {

char toLower(char value)
{
    return value >= 'A' && value <= 'Z' ? static_cast<char>(value + ('a' - 'A')) : value;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(
            left.begin(), left.end(), right.begin(), [](char a, char b) { return toLower(a) == toLower(b); });
}

const std::string* http_head::find(std::string_view name) const
{
    for (const auto& field : fields) {
        if (equalsIgnoringCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

std::size_t http_head::heldBytes() const
{
    // Short texts are stored in the string object itself.
    static const std::size_t shortCapacity = std::string().capacity();
    const auto allocated
        = [](const std::string& text) { return text.capacity() > shortCapacity ? text.capacity() : 0; };
    std::size_t held = allocated(target) + fields.capacity() * sizeof(http_field);
    for (const auto& field : fields)
        held += allocated(field.name) + allocated(field.value);
    return held;
}

bool isHopByHopField(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names { "connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
        "expect" };
    return std::any_of(
        names.begin(), names.end(), [&](std::string_view known) { return equalsIgnoringCase(known, name); });
}

std::set<std::string> connectionTokens(const http_head& head)
{
    std::set<std::string> tokens;
    for (const auto& field : head.fields) {
        if (!equalsIgnoringCase(field.name, "connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            tokens.insert(toLowerAscii(trimmed(rest.substr(0, comma))));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return tokens;
}

bool isListedInConnection(const http_head& head, std::string_view token)
{
    return connectionTokens(head).contains(toLowerAscii(token));
}

std::string_view reasonPhrase(int status)
{
    static constexpr std::array<std::pair<int, std::string_view>, 14> reasons { { { 200, "OK" },
        { 400, "Bad Request" }, { 401, "Unauthorized" }, { 403, "Forbidden" }, { 404, "Not Found" },
        { 408, "Request Timeout" }, { 413, "Content Too Large" }, { 421, "Misdirected Request" },
        { 429, "Too Many Requests" }, { 431, "Request Header Fields Too Large" },
        { 500, "Internal Server Error" }, { 502, "Bad Gateway" }, { 503, "Service Unavailable" },
        { 504, "Gateway Timeout" } } };
    for (const auto& [known, reason] : reasons) {
        if (known == status)
            return reason;
    }
    return "Status";
}

void appendChunk(std::string& out, std::string_view bytes)
{
    if (bytes.empty())
        return;
    std::array<char, 16> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    out.append(size.data(), end.ptr);
    out.append("\r\n");
    out.append(bytes);
    out.append("\r\n");
}

void appendField(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name);
    out.append(": ");
    out.append(value);
    out.append("\r\n");
}

} // namespace sagesaddle
