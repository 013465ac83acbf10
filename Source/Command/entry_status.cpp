#include "Command/entry_status.h"

#include "Base/clock.h"
#include "Serve/http_client.h"

#include <thread>

namespace sagesaddle {

namespace {

constexpr milliseconds statusTimeout { 1000 };
constexpr milliseconds activationTimeout { 4000 };
constexpr milliseconds pollInterval { 50 };

bool hasRevision(const entry_status& status, std::uint64_t revision)
{
    const auto member = status.document.find("revision");
    return member != status.document.end() && member->is_number_unsigned()
        && member->get<std::uint64_t>() >= revision;
}

std::string describe(const entry_status& status)
{
    const std::string adminAddress = formatAddress(status.admin);
    if (!status.failure.empty())
        return adminAddress + " (" + status.failure + ")";
    const std::string name = status.document.value("name", std::string("unnamed"));
    return name + " at " + adminAddress + " (revision "
        + std::to_string(status.document.value("revision", 0ULL)) + ")";
}

activation_report pollAll(const std::vector<address>& entries, std::uint64_t revision)
{
    activation_report report;
    for (const address& admin : entries) {
        const entry_status status = fetchStatus(admin);
        (hasRevision(status, revision) ? report.inForce : report.unconfirmed).push_back(describe(status));
    }
    return report;
}

} // namespace

entry_status fetchStatus(const address& admin)
{
    entry_status status { admin, nullptr, {} };
    http_request request;
    request.server = admin;
    request.target = "/admin/status";
    request.timeout = statusTimeout;
    try {
        const http_response response = http_client().send(request);
        nlohmann::json document = nlohmann::json::parse(response.body, nullptr, false);
        if (response.status == 200 && document.is_object())
            status.document = std::move(document);
        else
            status.failure = "status " + std::to_string(response.status) + " without a JSON object";
    } catch (const http_error& error) {
        status.failure = error.what();
    }
    return status;
}

activation_report awaitInForce(const std::vector<address>& entries, std::uint64_t revision)
{
    const monotonic_time deadline = monotonicNow() + activationTimeout;
    activation_report report = pollAll(entries, revision);
    while (!report.unconfirmed.empty() && monotonicNow() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        report = pollAll(entries, revision);
    }
    return report;
}

std::string formatActivationText(const activation_report& report)
{
    std::string text;
    for (const std::string& entry : report.inForce)
        text += "in force at " + entry + "\n";
    for (const std::string& entry : report.unconfirmed)
        text += "not confirmed at " + entry + "\n";
    return text;
}

} // namespace sagesaddle
