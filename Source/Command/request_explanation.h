#pragma once

#include "Base/clock.h"

#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A line of a gateway's decision log.
struct decision_line {
    /// The process that wrote the line: the name before the line's JSON object, or else the file's name.
    std::string process;
    /// Milliseconds since 1970 on the process's clock; clocks of two hosts may differ by seconds.
    std::int64_t writtenAtMs { 0 };
    std::string kind;
    nlohmann::json fields;
};

/// \brief Decision logs of gateways; the lines of each process are in the order in which it wrote them.
struct gateway_log {
    std::vector<decision_line> lines;
    /// Number of lines that are no JSON object with a time and a message.
    std::size_t unreadable { 0 };
};

/// Reads log lines up to the stream's end. Lines of several processes may be interleaved where each line
/// begins with the name of its process. \param name the process of lines that begin with no name
void readDecisionLog(std::istream& input, const std::string& name, gateway_log& log);

/// \brief Why a request ended as it did, from the logs alone.
struct request_explanation {
    /// One sentence; empty where no line has the request's id.
    std::string cause;
    /// Whether the logs have the events that led to the outcome, and not only the outcome itself.
    bool isExplained { false };
    /// The request's own lines, then the lines of the events that led to the outcome.
    std::vector<decision_line> evidence;
};

/// Explains a request. No I/O and no clock.
request_explanation explainFromLogs(const gateway_log& log, const std::string& requestId);

} // namespace sagesaddle
