#include "Command/commands.h"
#include "Command/request_explanation.h"

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace sagesaddle {

namespace {

using nlohmann::json;

gateway_log readLogs(const std::vector<std::string>& files)
{
    gateway_log log;
    for (const std::string& name : files) {
        if (name == "-") {
            readDecisionLog(std::cin, "standard input", log);
            continue;
        }
        std::ifstream input(name);
        if (!input)
            throw std::runtime_error("cannot read the log lines of \"" + name
                + "\": no such file, or it may not be read; give --lines a file that a gateway's output went "
                  "to");
        readDecisionLog(input, name, log);
    }
    return log;
}

std::string formatLine(const decision_line& line)
{
    std::string text
        = "  " + line.fields.at("time").get<std::string>() + " " + line.process + " " + line.kind;
    for (const auto& [key, value] : line.fields.items()) {
        if (key != "time" && key != "message" && key != "level")
            text += " " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text + "\n";
}

} // namespace

command_report run(const explain_logs_request& request)
{
    const gateway_log log = readLogs(request.files);
    const request_explanation explanation = explainFromLogs(log, request.requestId);
    command_report report;
    report.document = { { "id", request.requestId }, { "cause", explanation.cause },
        { "explained", explanation.isExplained }, { "unreadable_lines", log.unreadable },
        { "evidence", json::array() } };
    if (explanation.evidence.empty()) {
        report.code = exit_code::NotFound;
        report.text = "no line has the id " + request.requestId + " among " + std::to_string(log.lines.size())
            + "; it may have gone to another gateway, or its line was left out under load (see left_out)\n";
        return report;
    }
    report.text = request.requestId + ": " + explanation.cause + "\n";
    if (!explanation.isExplained)
        report.text += "  what decided it is not in these lines; add those of the other gateways\n";
    for (const decision_line& line : explanation.evidence) {
        report.text += formatLine(line);
        report.document["evidence"].push_back(line.fields);
    }
    if (log.unreadable > 0)
        report.text += "  (" + std::to_string(log.unreadable) + " lines could not be read)\n";
    return report;
}

} // namespace sagesaddle
