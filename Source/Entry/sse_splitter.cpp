#include "Entry/sse_splitter.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// Position after the last blank line, which ends an event; 0 if there is none.
std::size_t endOfWholeEvents(std::string_view text)
{
    std::size_t end = 0;
    for (const std::string_view blank : { std::string_view("\n\n"), std::string_view("\r\n\r\n") }) {
        const auto found = text.rfind(blank);
        if (found != std::string_view::npos)
            end = std::max(end, found + blank.size());
    }
    return end;
}

bool startsWithDoneMarker(std::string_view line)
{
    return line.starts_with("data: [DONE]") || line.starts_with("data:[DONE]");
}

// Start of the first line with the `[DONE]` marker, or the size of the text if there is none.
std::size_t findDoneMarker(std::string_view text)
{
    std::size_t line = 0;
    while (line < text.size()) {
        if (startsWithDoneMarker(text.substr(line)))
            return line;
        const auto lineEnd = text.find('\n', line);
        if (lineEnd == std::string_view::npos)
            break;
        line = lineEnd + 1;
    }
    return text.size();
}

} // namespace

std::string sse_splitter::feed(std::string_view bytes)
{
    m_pending.append(bytes);
    const std::string_view pending = m_pending;
    const std::size_t wholeEnd = endOfWholeEvents(pending);
    const std::size_t releasedEnd = std::min(wholeEnd, findDoneMarker(pending.substr(0, wholeEnd)));
    std::string events(pending.substr(0, releasedEnd));
    m_pending.erase(0, releasedEnd);
    return events;
}

std::string sse_splitter::finish()
{
    return std::exchange(m_pending, {});
}

} // namespace sagesaddle
