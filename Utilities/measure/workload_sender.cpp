#include "workload_sender.h"

#include "fault_injector.h"

#include "Support/calls.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

namespace sagesaddle::measure {

namespace {

constexpr std::size_t senders = 320;
constexpr milliseconds faultStep { 50 };
constexpr milliseconds clientSlack { 500 };

using steady_clock = std::chrono::steady_clock;

http_request requestOf(const workload_request& traced, const address& entry, std::size_t index)
{
    http_request request;
    if (traced.kind == workload_request_kind::Chat) {
        request = testing::chatRequest(entry, { traced.model, promptText(), traced.tokens, false });
    } else {
        const std::string path = traced.kind == workload_request_kind::Order ? "/orders" : "/stock";
        request = testing::serviceRequest(entry, path, "key-" + std::to_string(index));
    }
    const milliseconds deadline = deadlineOf(traced.priority);
    request.headers.emplace_back("X-Priority", std::string(nameOf(traced.priority)));
    request.headers.emplace_back("X-Request-Timeout-Ms", std::to_string(deadline.count()));
    request.timeout = deadline + clientSlack;
    return request;
}

// Sends the requests of a trace from many threads, each at its time.
class trace_sender {
public:
    trace_sender(const trace& given, measured_fleet& fleet)
        : m_trace(given)
        , m_fleet(fleet)
        , m_faults(fleet)
        , m_outcomes(given.requests.size())
    {
    }

    std::vector<request_outcome> send()
    {
        m_start = steady_clock::now();
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < senders; ++i)
            threads.emplace_back([this] { sendLoop(); });
        while (sinceStart() < m_trace.length) {
            m_faults.advance(sinceStart());
            std::this_thread::sleep_for(faultStep);
        }
        for (std::thread& thread : threads)
            thread.join();
        return std::move(m_outcomes);
    }

private:
    milliseconds sinceStart() const
    {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_start);
    }

    void sendLoop()
    {
        http_client client;
        for (std::size_t i = m_next++; i < m_trace.requests.size(); i = m_next++) {
            std::this_thread::sleep_until(m_start + m_trace.requests[i].at);
            sendOne(client, i);
        }
    }

    std::size_t chooseEntry(std::size_t wanted) const
    {
        return m_faults.isOut(wanted) ? (wanted + 1) % entryCount : wanted;
    }

    void sendOne(http_client& client, std::size_t index)
    {
        const workload_request& traced = m_trace.requests[index];
        request_outcome& outcome = m_outcomes[index];
        const address& entry = m_fleet.processes().entry(chooseEntry(traced.entry)).listen;
        http_request request = requestOf(traced, entry, index);
        request.headers.emplace_back(
            "Authorization", "Bearer " + testing::secretOf(m_trace.teams[traced.team].name));
        outcome.sentAt = sinceStart();
        const auto began = steady_clock::now();
        try {
            const http_response response = client.send(request);
            outcome.status = response.status;
            outcome.reason = testing::problemMember(response, "reason");
            outcome.verdict = testing::problemMember(response, "verdict");
        } catch (const http_error&) {
            outcome.reason = "no_answer";
        }
        outcome.wholeMs = std::chrono::duration<double, std::milli>(steady_clock::now() - began).count();
    }

    const trace& m_trace;
    measured_fleet& m_fleet;
    fault_injector m_faults;
    std::vector<request_outcome> m_outcomes;
    std::atomic<std::size_t> m_next { 0 };
    steady_clock::time_point m_start;
};

} // namespace

std::vector<request_outcome> runWorkload(const trace& given, measured_fleet& fleet)
{
    return trace_sender(given, fleet).send();
}

} // namespace sagesaddle::measure
