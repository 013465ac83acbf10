#pragma once

#include "Base/clock.h"
#include "Watch/log.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

/// \brief How many lines of one kind may be written.
struct line_budget {
    /// Lines a second.
    double perSecond { 40 };
    /// Lines at once.
    double burst { 200 };

    auto operator<=>(const line_budget&) const = default;
};

/// \brief Writes one JSON line for each decision, in bounded volume and without ever blocking.
///
/// Each kind of line has a budget; failures have one of their own, so that they are left out last. Lines that
/// were left out are counted and the count stands in the next line of their kind. Not safe from several
/// threads.
class decision_logger {
public:
    /// \param descriptor where lines go; it is set to not block
    /// \param standard budget of ordinary kinds
    /// \param failures budget of kinds written as warnings or errors
    decision_logger(
        int descriptor, log_level level, line_budget standard = {}, line_budget failures = { 200, 600 });

    void write(log_level level, std::string_view kind, std::vector<log_field> fields, monotonic_time now);

    void setLevel(log_level level) { m_level = level; }

    /// \return lines left out so far, for a budget or for a reader that does not keep up.
    std::uint64_t leftOut() const { return m_leftOut; }

private:
    struct kind_state {
        double allowance { 0 };
        monotonic_time filledAt {};
        std::uint64_t leftOut { 0 };
    };

    bool mayWrite(kind_state& state, const line_budget& budget, monotonic_time now);
    bool put(const std::string& line);

    int m_descriptor;
    log_level m_level;
    line_budget m_standard;
    line_budget m_failures;
    std::map<std::string, kind_state, std::less<>> m_kinds;
    /// The rest of a line that the reader has not taken.
    std::string m_unwritten;
    std::uint64_t m_leftOut { 0 };
};

} // namespace sagesaddle
