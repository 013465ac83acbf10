#pragma once

#include "Base/clock.h"

#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A line that a gateway logged.
struct decision_line {
    /// The process that wrote it: what stands before the line's JSON object, or the file's name.
    std::string process;
    /// Its clock's milliseconds since 1970; clocks of two hosts may differ by seconds.
    std::int64_t writtenAtMs { 0 };
    std::string kind;
    nlohmann::json fields;
};

/// \brief What gateways logged, in the order of each process.
struct gateway_log {
    std::vector<decision_line> lines;
    /// Lines that are no JSON object with a time and a message.
    std::size_t unreadable { 0 };
};

/// Reads log lines to the stream's end; those of several processes may be mixed where each line begins with a
/// process's name.
/// \param name taken as the process of lines that begin with none
void readDecisionLog(std::istream& input, const std::string& name, gateway_log& log);

/// \brief Why a request ended as it did, from the logs alone.
struct request_explanation {
    /// One sentence; empty where no line has the id.
    std::string cause;
    /// Whether the logs hold what decided it, beyond the outcome itself.
    bool isExplained { false };
    /// The request's own lines, then those of what decided it.
    std::vector<decision_line> evidence;
};

/// Looks up a request; pure.
request_explanation explainFromLogs(const gateway_log& log, const std::string& requestId);

} // namespace sagesaddle
