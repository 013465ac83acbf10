#include "Relay/event_splitter.h"

namespace sagesaddle {

namespace {

// Returns the end of the last complete event: the position after the last blank line.
std::size_t endOfEvents(std::string_view text)
{
    std::size_t end = 0;
    std::size_t lineStart = 0;
    while (true) {
        const std::size_t newline = text.find('\n', lineStart);
        if (newline == std::string_view::npos)
            return end;
        std::string_view line = text.substr(lineStart, newline - lineStart);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        lineStart = newline + 1;
        if (line.empty())
            end = lineStart;
    }
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    const std::size_t end = endOfEvents(m_partial);
    std::string events = m_partial.substr(0, end);
    m_partial.erase(0, end);
    updateLastEventId(events);
    return events;
}

void event_splitter::updateLastEventId(std::string_view events)
{
    constexpr std::string_view prefix = "id:";
    std::size_t lineStart = 0;
    while (lineStart < events.size()) {
        const std::size_t newline = events.find('\n', lineStart);
        std::string_view line = events.substr(lineStart, newline - lineStart);
        lineStart = newline + 1;
        if (!line.starts_with(prefix))
            continue;
        line.remove_prefix(prefix.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        m_lastEventId = line;
    }
}

} // namespace sagesaddle
