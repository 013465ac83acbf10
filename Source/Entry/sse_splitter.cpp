#include "Entry/sse_splitter.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// Position after the last blank line, or 0 where there is none.
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

bool startsDone(std::string_view line)
{
    return line.starts_with("data: [DONE]") || line.starts_with("data:[DONE]");
}

// Start of the line that marks the end, or the text's size.
std::size_t startOfDone(std::string_view text)
{
    std::size_t line = 0;
    while (line < text.size()) {
        if (startsDone(text.substr(line)))
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
    const std::size_t whole = endOfWholeEvents(pending);
    const std::size_t passed = std::min(whole, startOfDone(pending.substr(0, whole)));
    std::string events(pending.substr(0, passed));
    m_pending.erase(0, passed);
    return events;
}

std::string sse_splitter::finish()
{
    return std::exchange(m_pending, {});
}

} // namespace sagesaddle
