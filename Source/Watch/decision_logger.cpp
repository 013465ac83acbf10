#include "Watch/decision_logger.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace sagesaddle {

decision_logger::decision_logger(
    int descriptor, log_level level, line_rate_limit ordinary, line_rate_limit failures)
    : m_descriptor(descriptor)
    , m_level(level)
    , m_ordinaryLimit(ordinary)
    , m_failureLimit(failures)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool decision_logger::tryConsumeToken(kind_state& state, const line_rate_limit& limit, monotonic_time now)
{
    if (state.refilledAt == monotonic_time {})
        state.tokens = limit.burst;
    else
        state.tokens
            = std::min(limit.burst, state.tokens + limit.perSecond * secondsBetween(state.refilledAt, now));
    state.refilledAt = now;
    if (state.tokens < 1)
        return false;
    state.tokens -= 1;
    return true;
}

bool decision_logger::tryWriteLine(const std::string& line)
{
    if (!m_unwrittenRest.empty()) {
        const ssize_t written = ::write(m_descriptor, m_unwrittenRest.data(), m_unwrittenRest.size());
        if (written > 0)
            m_unwrittenRest.erase(0, static_cast<std::size_t>(written));
        if (!m_unwrittenRest.empty())
            return false;
    }
    const ssize_t written = ::write(m_descriptor, line.data(), line.size());
    if (written <= 0)
        return false;
    m_unwrittenRest = line.substr(static_cast<std::size_t>(written));
    return true;
}

void decision_logger::write(
    log_level level, std::string_view kind, std::vector<log_field> fields, monotonic_time now)
{
    if (level < m_level)
        return;
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        found = m_kinds.emplace(std::string(kind), kind_state {}).first;
    kind_state& state = found->second;
    if (!tryConsumeToken(state, level >= log_level::Warning ? m_failureLimit : m_ordinaryLimit, now)) {
        ++state.dropped;
        ++m_droppedLines;
        return;
    }
    if (state.dropped > 0)
        fields.emplace_back("left_out", state.dropped);
    if (tryWriteLine(formatLogLine(std::chrono::system_clock::now(), level, kind, fields) + "\n")) {
        state.dropped = 0;
        return;
    }
    ++state.dropped;
    ++m_droppedLines;
}

} // namespace sagesaddle
