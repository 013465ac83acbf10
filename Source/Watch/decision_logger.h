#pragma once

#include "Base/clock.h"
#include "Watch/log.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

/// \brief Rate limit for the lines of one kind: a token bucket with one token for each line.
struct line_rate_limit {
    /// Lines per second.
    double perSecond { 40 };
    /// Lines that may be written at once after a pause.
    double burst { 200 };

    auto operator<=>(const line_rate_limit&) const = default;
};

/// \brief Writes the decision log: one JSON line for each decision, rate-limited, without ever blocking.
///
/// Each kind of line has a rate limit of its own, which is higher for warnings and errors than for the
/// others, so that failures are dropped last. A line is also dropped while the reader does not keep up.
/// Dropped lines are counted, and the next line of their kind carries the count as `left_out`. Not
/// thread-safe.
class decision_logger {
public:
    /// \param descriptor file descriptor that the lines are written to; the constructor makes it non-blocking
    /// \param level lines below this level are not written
    /// \param ordinary rate limit of each kind of line below log_level::Warning
    /// \param failures rate limit of each kind of line at log_level::Warning and above
    decision_logger(int descriptor, log_level level, line_rate_limit ordinary = {},
        line_rate_limit failures = { 200, 600 });

    /// Writes one line, unless its level is too low or it has to be dropped.
    /// \param kind the line's message and the key of its rate limit
    /// \param now the current time, which refills the rate limit
    void write(log_level level, std::string_view kind, std::vector<log_field> fields, monotonic_time now);

    /// Sets the level below which lines are not written.
    void setLevel(log_level level) { m_level = level; }

    /// \return lines dropped so far, by a rate limit or because the reader did not keep up.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    struct kind_state {
        /// Lines that the rate limit allows now.
        double tokens { 0 };
        monotonic_time refilledAt {};
        /// Lines dropped since the last one that was written.
        std::uint64_t dropped { 0 };
    };

    bool tryConsumeToken(kind_state& state, const line_rate_limit& limit, monotonic_time now);
    bool tryWriteLine(const std::string& line);

    int m_descriptor;
    log_level m_level;
    line_rate_limit m_ordinaryLimit;
    line_rate_limit m_failureLimit;
    std::map<std::string, kind_state, std::less<>> m_kinds;
    /// The rest of a line that was written in part; it precedes the next line, so that each line stays whole.
    std::string m_unwrittenRest;
    std::uint64_t m_droppedLines { 0 };
};

} // namespace sagesaddle
