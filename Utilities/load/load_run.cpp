#include "load_run.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

namespace sagesaddle {

namespace {

using clock = std::chrono::steady_clock;

// Limits the number of requests of all streams and the time in which they start; thread-safe.
class request_budget {
public:
    request_budget(std::uint64_t requests, monotonic_time end)
        : m_left(static_cast<std::int64_t>(requests))
        , m_end(end)
    {
    }

    // Returns whether one more request may start, and counts it.
    bool tryTake() { return clock::now() < m_end && m_left.fetch_sub(1) > 0; }

private:
    std::atomic<std::int64_t> m_left;
    monotonic_time m_end;
};

std::string failureReason(std::uint16_t status, const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_object() && document.contains("reason"))
        return document.at("reason");
    return "status_" + std::to_string(status);
}

void sendRequest(http_client& client, const http_request& request, load_test_result& report)
{
    std::uint16_t status = 0;
    bool isStream = false;
    std::string body;
    const auto start = clock::now();
    auto firstByte = start;
    http_sink sink;
    sink.onHead = [&](std::uint16_t answerStatus, const auto&) { status = answerStatus; };
    sink.onData = [&](std::string_view bytes) {
        if (body.empty()) {
            firstByte = clock::now();
            isStream = bytes.starts_with("data:");
        }
        body.append(bytes);
    };
    try {
        client.stream(request, sink);
    } catch (const http_error&) {
        return report.addFailure("connection");
    }
    if (status != 200)
        report.addFailure(failureReason(status, body));
    else if (isStream && body.find("data: [DONE]") == std::string::npos)
        report.addFailure("broken_stream");
    else
        report.addSuccess(firstByte - start, clock::now() - start);
}

} // namespace

load_test_result runLoadTest(const load_test_plan& plan)
{
    request_budget budget(plan.requests, clock::now() + plan.duration);
    std::vector<load_test_result> reports(plan.streams);
    {
        std::vector<std::jthread> threads;
        for (std::uint32_t i = 0; i < plan.streams; ++i) {
            threads.emplace_back([&plan, &budget, &report = reports[i], i] {
                http_client client;
                http_request request = plan.request;
                request.server = plan.servers[i % plan.servers.size()];
                while (budget.tryTake())
                    sendRequest(client, request, report);
            });
        }
    }
    load_test_result total;
    for (const load_test_result& report : reports)
        total.merge(report);
    return total;
}

} // namespace sagesaddle
