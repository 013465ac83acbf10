#include "Side/usage_reader.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace sagesaddle {

namespace {

constexpr std::size_t keptStreamBytes = 8 * 1024;
constexpr std::size_t keptDocumentBytes = 4 * 1024 * 1024;
constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view lastEvent = "data: [DONE]";

std::uint32_t countOf(const nlohmann::json& usage, const char* key)
{
    const auto found = usage.find(key);
    if (found == usage.end() || !found->is_number_unsigned())
        return 0;
    return found->get<std::uint32_t>();
}

std::uint32_t usageOf(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return 0;
    const auto usage = document.find("usage");
    if (usage == document.end() || !usage->is_object())
        return 0;
    return countOf(*usage, "prompt_tokens") + countOf(*usage, "completion_tokens");
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
    if (m_isJson && m_kept.size() + bytes.size() > keptDocumentBytes)
        m_overflowed = true;
    if (m_overflowed)
        return;
    m_kept.append(bytes);
    if (m_isEventStream && m_kept.size() > 2 * keptStreamBytes)
        m_kept.erase(0, m_kept.size() - keptStreamBytes);
}

bool usage_reader::isTerminated() const
{
    return m_kept.find(lastEvent) != std::string::npos;
}

std::uint32_t usage_reader::tokensUsed() const
{
    if (m_isJson)
        return m_overflowed ? 0 : usageOf(m_kept);
    std::uint32_t tokens = 0;
    std::istringstream lines(m_kept);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(dataPrefix))
            continue;
        const std::uint32_t found = usageOf(std::string_view(line).substr(dataPrefix.size()));
        tokens = found > 0 ? found : tokens;
    }
    return tokens;
}

} // namespace sagesaddle
