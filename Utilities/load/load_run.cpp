#include "load_run.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

namespace sagesaddle {

namespace {

using clock = std::chrono::steady_clock;

// Numbers the requests of all streams, until there are enough or the time is over.
class request_budget {
public:
    request_budget(std::uint64_t requests, monotonic_time end)
        : m_left(static_cast<std::int64_t>(requests))
        , m_end(end)
    {
    }

    bool take() { return clock::now() < m_end && m_left.fetch_sub(1) > 0; }

private:
    std::atomic<std::int64_t> m_left;
    monotonic_time m_end;
};

std::string reasonOf(std::uint16_t status, const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_object() && document.contains("reason"))
        return document.at("reason");
    return "status_" + std::to_string(status);
}

void sendOne(http_client& client, const http_request& request, load_report& report)
{
    std::uint16_t status = 0;
    bool streamed = false;
    std::string body;
    const auto start = clock::now();
    auto firstByte = start;
    http_sink sink;
    sink.onHead = [&](std::uint16_t given, const auto&) { status = given; };
    sink.onData = [&](std::string_view bytes) {
        if (body.empty()) {
            firstByte = clock::now();
            streamed = bytes.starts_with("data:");
        }
        body.append(bytes);
    };
    try {
        client.stream(request, sink);
    } catch (const http_error&) {
        return report.addError("connection");
    }
    if (status != 200)
        report.addError(reasonOf(status, body));
    else if (streamed && body.find("data: [DONE]") == std::string::npos)
        report.addError("broken_stream");
    else
        report.addAnswer(firstByte - start, clock::now() - start);
}

} // namespace

load_report runLoad(const load_plan& plan)
{
    request_budget budget(plan.requests, clock::now() + plan.duration);
    std::vector<load_report> reports(plan.streams);
    {
        std::vector<std::jthread> threads;
        for (std::uint32_t i = 0; i < plan.streams; ++i) {
            threads.emplace_back([&plan, &budget, &report = reports[i], i] {
                http_client client;
                http_request request = plan.request;
                request.server = plan.servers[i % plan.servers.size()];
                while (budget.take())
                    sendOne(client, request, report);
            });
        }
    }
    load_report total;
    for (const load_report& report : reports)
        total.merge(report);
    return total;
}

} // namespace sagesaddle
