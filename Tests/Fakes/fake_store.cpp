#include "Fakes/fake_store.h"

#include "Fakes/fake_program.h"

#include <algorithm>
#include <thread>

namespace sagesaddle::testing {

fake_store::fake_store(limits given)
    : m_limits(given)
{
}

void fake_store::handle(http_call& call)
{
    const std::string path = call.path();
    if (path == "/admin/stats") {
        const std::lock_guard lock(m_mutex);
        return respondJson(call, 200,
            { { "loads", m_loads }, { "running", m_running }, { "peak_running", m_peakRunning },
                { "by_model", m_byModel } });
    }
    const nlohmann::json document = readJson(call);
    if (path == "/admin/faults") {
        const std::lock_guard lock(m_mutex);
        setIfPresent(document, "away", m_isUnavailable);
        setIfPresent(document, "delay_ms", m_delayMs);
        setIfPresent(document, "lose_answers", m_loseAnswers);
        return respondJson(call, 200, nlohmann::json::object());
    }
    if (path != "/v1/loads")
        return respondJson(call, 404, { { "error", "no such path: " + path } });
    std::unique_lock lock(m_mutex);
    if (m_isUnavailable) {
        lock.unlock();
        return respondJson(call, 503, { { "error", "away" } });
    }
    const bool loseAnswer = consumeFault(m_loseAnswers);
    lock.unlock();
    std::this_thread::sleep_for(startLoad(document.at("model")));
    finishLoad();
    if (loseAnswer)
        call.abandon();
    else
        respondJson(call, 200, { { "model", document.at("model") } });
}

milliseconds fake_store::startLoad(const std::string& model)
{
    const std::lock_guard lock(m_mutex);
    ++m_loads;
    ++m_byModel[model];
    ++m_running;
    m_peakRunning = std::max(m_peakRunning, m_running);
    const auto now = monotonicNow();
    auto start = now;
    if (m_limits.loadsPerSecond > 0) {
        start = std::max(now, m_nextStart);
        m_nextStart = start
            + std::chrono::duration_cast<monotonic_duration>(
                std::chrono::duration<double>(1 / m_limits.loadsPerSecond));
    }
    const double slowdown = std::max(1.0, static_cast<double>(m_running) / m_limits.maxFullSpeedLoads);
    const milliseconds load(static_cast<std::int64_t>(m_limits.loadMs * slowdown) + m_delayMs);
    return std::chrono::duration_cast<milliseconds>(start - now) + load;
}

void fake_store::finishLoad()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
}

} // namespace sagesaddle::testing
