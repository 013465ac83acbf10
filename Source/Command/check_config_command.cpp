#include "Command/commands.h"
#include "Fleet/config_check.h"
#include "Record/record_error.h"
#include "config_reader.h"

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace sagesaddle {

namespace {

using nlohmann::json;

fleet_config readFleetConfig(const std::string& file)
{
    std::ifstream input(file);
    if (!input)
        throw std::runtime_error("cannot read the configuration \"" + file
            + "\": no such file, or it may not be read; give a file that holds one configuration as JSON");
    const std::string text { std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>() };
    try {
        return platform::parseFleetConfig(text);
    } catch (const std::exception& error) {
        throw record_error(file + ": " + error.what() + ". Correct the configuration.");
    }
}

} // namespace

command_report run(const check_config_request& request)
{
    const fleet_config config = readFleetConfig(request.file);
    auto findings = checkConfig(config);
    command_report report;
    report.document = { { "version", config.version }, { "findings", json::array() } };
    if (!request.inForceFile.empty()) {
        const fleet_config inForce = readFleetConfig(request.inForceFile);
        const auto more = checkReplacement(inForce, config);
        findings.insert(findings.end(), more.begin(), more.end());
        report.document["changes"] = json::array();
        for (const auto& change : compareConfigs(inForce, config)) {
            report.text += "change: " + change.place + ": " + change.text + "\n";
            report.document["changes"].push_back({ { "place", change.place }, { "text", change.text } });
        }
    }
    for (const auto& finding : findings) {
        const bool isError = finding.severity == config_severity::Error;
        const std::string severity = isError ? "error" : "warning";
        if (isError)
            report.code = exit_code::InvalidRecords;
        report.text.append(severity)
            .append(": ")
            .append(finding.place)
            .append(" ")
            .append(finding.text)
            .append("\n");
        report.document["findings"].push_back(
            { { "severity", severity }, { "place", finding.place }, { "text", finding.text } });
    }
    report.text += request.file + ": version " + std::to_string(config.version) + ", "
        + std::to_string(config.routes.size()) + " routes, "
        + (report.code == exit_code::Done ? "can be sent\n" : "must be corrected\n");
    return report;
}

} // namespace sagesaddle
