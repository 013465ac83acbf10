#include "Command/commands.h"
#include "Command/entry_status.h"
#include "Serve/http_client.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace sagesaddle {

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr milliseconds explainTimeout { 2000 };

std::string formatStatusLine(const entry_status& status)
{
    const std::string at = formatAddress(status.admin);
    if (!status.failure.empty())
        return at + ": cannot be asked: " + status.failure + "\n";
    std::string line = at + ":";
    for (const char* key : { "name", "offset", "revision", "ready", "fresh", "log_away", "overload" })
        line += std::string(" ") + key + "=" + status.document.value(key, nlohmann::json()).dump();
    return line + "\n";
}

void checkTraceId(const std::string& text)
{
    const bool fits = text.size() == traceIdDigits
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c); });
    if (!fits)
        throw std::invalid_argument("TRACE_ID is \"" + text
            + "\"; allowed: 32 hexadecimal digits, as answers carry them in traceparent");
}

} // namespace

command_report run(const status_request& request)
{
    command_report report;
    report.document["entries"] = nlohmann::json::array();
    for (const address& admin : request.entries) {
        const entry_status status = askStatus(admin);
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
    report.document["entries"] = nlohmann::json::array();
    for (const address& admin : request.entries) {
        http_request ask;
        ask.server = admin;
        ask.target = "/admin/explain?trace=" + request.traceId;
        ask.timeout = explainTimeout;
        std::string said;
        try {
            const http_response response = http_client().send(ask);
            if (response.status == 200)
                report.code = exit_code::Done;
            said = response.status == 200 ? response.body : "knows nothing of this trace";
        } catch (const http_error& error) {
            said = std::string("cannot be asked: ") + error.what();
        }
        report.text += formatAddress(admin) + ": " + said + "\n";
        report.document["entries"].push_back({ { "admin", formatAddress(admin) }, { "explanation", said } });
    }
    return report;
}

} // namespace sagesaddle
