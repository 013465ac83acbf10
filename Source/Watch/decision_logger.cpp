#include "Watch/decision_logger.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace sagesaddle {

decision_logger::decision_logger(int descriptor, log_level level, line_budget standard, line_budget failures)
    : m_descriptor(descriptor)
    , m_level(level)
    , m_standard(standard)
    , m_failures(failures)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool decision_logger::mayWrite(kind_state& state, const line_budget& budget, monotonic_time now)
{
    if (state.filledAt == monotonic_time {})
        state.allowance = budget.burst;
    else
        state.allowance = std::min(
            budget.burst, state.allowance + budget.perSecond * secondsBetween(state.filledAt, now));
    state.filledAt = now;
    if (state.allowance < 1)
        return false;
    state.allowance -= 1;
    return true;
}

bool decision_logger::put(const std::string& line)
{
    if (!m_unwritten.empty()) {
        const ssize_t taken = ::write(m_descriptor, m_unwritten.data(), m_unwritten.size());
        if (taken > 0)
            m_unwritten.erase(0, static_cast<std::size_t>(taken));
        if (!m_unwritten.empty())
            return false;
    }
    const ssize_t taken = ::write(m_descriptor, line.data(), line.size());
    if (taken <= 0)
        return false;
    m_unwritten = line.substr(static_cast<std::size_t>(taken));
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
    if (!mayWrite(state, level >= log_level::Warning ? m_failures : m_standard, now)) {
        ++state.leftOut;
        ++m_leftOut;
        return;
    }
    if (state.leftOut > 0)
        fields.emplace_back("left_out", state.leftOut);
    if (put(formatLogLine(std::chrono::system_clock::now(), level, kind, fields) + "\n")) {
        state.leftOut = 0;
        return;
    }
    ++state.leftOut;
    ++m_leftOut;
}

} // namespace sagesaddle
