#include "workload_sender.h"

#include "fault_injector.h"

#include "Support/calls.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

namespace sagesaddle::measure {

namespace {

constexpr std::size_t senderThreads = 320;
constexpr milliseconds faultCheckInterval { 50 };
// Added to the deadline.
constexpr milliseconds extraClientTimeout { 500 };

using steady_clock = std::chrono::steady_clock;

http_request makeRequest(const workload_request& sent, const address& entry, std::size_t index)
{
    http_request request;
    if (sent.kind == workload_request_kind::Chat) {
        request = testing::chatRequest(entry, { sent.model, promptText(), sent.tokens, false });
    } else {
        const std::string path = sent.kind == workload_request_kind::Order ? "/orders" : "/stock";
        request = testing::serviceRequest(entry, path, "key-" + std::to_string(index));
    }
    const milliseconds deadline = deadlineOf(sent.priority);
    request.headers.emplace_back("X-Priority", std::string(nameOf(sent.priority)));
    request.headers.emplace_back("X-Request-Timeout-Ms", std::to_string(deadline.count()));
    request.timeout = deadline + extraClientTimeout;
    return request;
}

// Sends the requests of a workload from many threads, each at its time.
class workload_sender {
public:
    workload_sender(const workload& load, measured_fleet& fleet)
        : m_load(load)
        , m_fleet(fleet)
        , m_faults(fleet)
        , m_outcomes(load.requests.size())
    {
    }

    std::vector<request_outcome> send()
    {
        m_start = steady_clock::now();
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < senderThreads; ++i)
            threads.emplace_back([this] { sendLoop(); });
        while (sinceStart() < m_load.length) {
            m_faults.advance(sinceStart());
            std::this_thread::sleep_for(faultCheckInterval);
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
        for (std::size_t i = m_nextIndex++; i < m_load.requests.size(); i = m_nextIndex++) {
            std::this_thread::sleep_until(m_start + m_load.requests[i].at);
            sendOne(client, i);
        }
    }

    std::size_t chooseEntry(std::size_t preferred) const
    {
        return m_faults.isRemovedByBalancer(preferred) ? (preferred + 1) % entryCount : preferred;
    }

    void sendOne(http_client& client, std::size_t index)
    {
        const workload_request& sent = m_load.requests[index];
        request_outcome& outcome = m_outcomes[index];
        const address& entry = m_fleet.processes().entry(chooseEntry(sent.entry)).listen;
        http_request request = makeRequest(sent, entry, index);
        request.headers.emplace_back(
            "Authorization", "Bearer " + testing::secretOf(m_load.teams[sent.team].name));
        outcome.sentAt = sinceStart();
        const auto start = steady_clock::now();
        try {
            const http_response response = client.send(request);
            outcome.status = response.status;
            outcome.reason = testing::problemMember(response, "reason");
            outcome.verdict = testing::problemMember(response, "verdict");
        } catch (const http_error&) {
            outcome.reason = "no_answer";
        }
        outcome.wholeMs = std::chrono::duration<double, std::milli>(steady_clock::now() - start).count();
    }

    const workload& m_load;
    measured_fleet& m_fleet;
    fault_injector m_faults;
    std::vector<request_outcome> m_outcomes;
    std::atomic<std::size_t> m_nextIndex { 0 };
    steady_clock::time_point m_start;
};

} // namespace

std::vector<request_outcome> runWorkload(const workload& load, measured_fleet& fleet)
{
    return workload_sender(load, fleet).send();
}

} // namespace sagesaddle::measure
