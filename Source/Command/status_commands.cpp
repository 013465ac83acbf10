#include "Base/http_status.h"
#include "Command/commands.h"
#include "Command/entry_status.h"
#include "Serve/http_client.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace sagesaddle {

namespace {

using nlohmann::json;

constexpr std::size_t traceIdDigits = 32;
constexpr milliseconds explainTimeout { 2000 };

std::string formatStatusLine(const entry_status& status)
{
    const std::string adminAddress = formatAddress(status.admin);
    if (!status.failure.empty())
        return adminAddress + ": cannot be asked: " + status.failure + "\n";
    std::string line = adminAddress + ":";
    for (const char* key : { "name", "offset", "revision", "ready", "fresh", "log_away", "overload" })
        line += std::string(" ") + key + "=" + status.document.value(key, json()).dump();
    return line + "\n";
}

void checkTraceId(const std::string& text)
{
    const bool isValid = text.size() == traceIdDigits
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c); });
    if (!isValid)
        throw std::invalid_argument("TRACE is \"" + text
            + "\"; allowed: 32 hexadecimal digits, as answers carry them in traceparent");
}

// The decisions that an entry recorded for a trace.
struct trace_decisions {
    json decisions = json::array();
    // Why the entry could not be asked; empty where it answered, also with no decisions.
    std::string failure;
};

trace_decisions fetchDecisions(const address& admin, const std::string& traceId)
{
    http_request request;
    request.server = admin;
    request.target = "/admin/explain?trace=" + traceId;
    request.timeout = explainTimeout;
    trace_decisions result;
    try {
        const http_response response = http_client().send(request);
        const json document = json::parse(response.body, nullptr, false);
        if (response.status == statusOk && document.is_object() && document.contains("decisions"))
            result.decisions = document.at("decisions");
        else if (response.status != statusNotFound)
            result.failure = "status " + std::to_string(response.status) + " without decisions";
    } catch (const http_error& error) {
        result.failure = error.what();
    }
    return result;
}

std::string formatDecision(const json& decision)
{
    std::string text;
    for (const auto& [key, value] : decision.items())
        if (key != "steps")
            text += "  " + key + ": " + value.dump() + "\n";
    for (const json& step : decision.value("steps", json::array()))
        text += "  - " + (step.is_string() ? step.get<std::string>() : step.dump()) + "\n";
    return text;
}

std::string formatExplanation(const address& admin, const trace_decisions& recorded)
{
    const std::string prefix = formatAddress(admin) + ": ";
    if (!recorded.failure.empty())
        return prefix + "cannot be asked: " + recorded.failure + "\n";
    if (recorded.decisions.empty())
        return prefix + "knows nothing of this trace\n";
    std::string text = prefix + "\n";
    for (const json& decision : recorded.decisions)
        text += formatDecision(decision);
    return text;
}

} // namespace

command_report run(const status_request& request)
{
    command_report report;
    report.document["entries"] = json::array();
    for (const address& admin : request.entries) {
        const entry_status status = fetchStatus(admin);
        report.text += formatStatusLine(status);
        report.document["entries"].push_back({ { "admin", formatAddress(admin) },
            { "status", status.document }, { "failure", status.failure } });
        if (!status.failure.empty())
            report.code = exit_code::Unconfirmed;
    }
    return report;
}

command_report run(const explain_request& request)
{
    checkTraceId(request.traceId);
    command_report report;
    report.code = exit_code::NotFound;
    report.document["entries"] = json::array();
    for (const address& admin : request.entries) {
        const trace_decisions recorded = fetchDecisions(admin, request.traceId);
        if (!recorded.decisions.empty())
            report.code = exit_code::Done;
        report.text += formatExplanation(admin, recorded);
        report.document["entries"].push_back({ { "admin", formatAddress(admin) },
            { "decisions", recorded.decisions }, { "failure", recorded.failure } });
    }
    return report;
}

} // namespace sagesaddle
