#include "Side/usage_reader.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace sagesaddle {

namespace {

// The usage and the last event stand at the end of a stream.
constexpr std::size_t streamTailBytes = 8 * 1024;
constexpr std::size_t maxDocumentBytes = 4 * 1024 * 1024;
constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view lastEvent = "data: [DONE]";

std::uint32_t tokenCount(const nlohmann::json& usage, const char* key)
{
    const auto found = usage.find(key);
    if (found == usage.end() || !found->is_number_unsigned())
        return 0;
    return found->get<std::uint32_t>();
}

// Returns the prompt and completion tokens in the usage of a JSON document; 0 if there are none.
std::uint32_t tokensUsedIn(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return 0;
    const auto usage = document.find("usage");
    if (usage == document.end() || !usage->is_object())
        return 0;
    return tokenCount(*usage, "prompt_tokens") + tokenCount(*usage, "completion_tokens");
}

} // namespace

usage_reader::usage_reader(std::string_view contentType)
    : m_isEventStream(contentType.starts_with("text/event-stream"))
    , m_isJson(contentType.starts_with("application/json"))
{
}

void usage_reader::add(std::string_view bytes)
{
    if (!m_isEventStream && !m_isJson)
        return;
    if (m_isJson && m_buffer.size() + bytes.size() > maxDocumentBytes)
        m_overflowed = true;
    if (m_overflowed)
        return;
    m_buffer.append(bytes);
    if (m_isEventStream && m_buffer.size() > 2 * streamTailBytes)
        m_buffer.erase(0, m_buffer.size() - streamTailBytes);
}

bool usage_reader::isTerminated() const
{
    return m_buffer.find(lastEvent) != std::string::npos;
}

std::uint32_t usage_reader::tokensUsed() const
{
    if (m_isJson)
        return m_overflowed ? 0 : tokensUsedIn(m_buffer);
    std::uint32_t tokens = 0;
    std::istringstream lines(m_buffer);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(dataPrefix))
            continue;
        const std::uint32_t found = tokensUsedIn(std::string_view(line).substr(dataPrefix.size()));
        tokens = found > 0 ? found : tokens;
    }
    return tokens;
}

} // namespace sagesaddle
