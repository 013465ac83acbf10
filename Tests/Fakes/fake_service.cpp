#include "Fakes/fake_service.h"

#include "Fakes/fake_call.h"
#include "Fakes/fake_program.h"

#include <thread>

namespace sagesaddle::testing {

fake_service::fake_service(std::string name)
    : m_name(std::move(name))
{
}

void fake_service::handle(http_call& call)
{
    if (call.path() == "/admin/executions" || call.path() == "/admin/stats")
        return respondJson(call, 200, executions());
    if (call.path() == "/admin/faults") {
        setFaults(readJson(call));
        return respondJson(call, 200, nlohmann::json::object());
    }
    execute(call);
}

void fake_service::execute(http_call& call)
{
    std::string body;
    if (call.readBody(body, maxBodyBytes) != body_failure::None)
        return respondJson(call, 400, { { "error", "the body did not come whole" } });
    std::unique_lock lock(m_mutex);
    const std::uint64_t number = ++m_total;
    m_headers.add(call.headers());
    if (const std::string key = firstHeader(call, "Idempotency-Key"); !key.empty())
        ++m_byKey[key];
    ++m_byRequest[firstHeader(call, "X-Request-Id")];
    ++m_byTeam[firstHeader(call, "X-Sagesaddle-Team")];
    m_released.wait_for(lock, maxHoldTime, [this] { return !m_hold; });
    const milliseconds delay(m_delayMs);
    const bool loseAnswer = consumeFault(m_loseAnswers);
    const bool cutAnswer = !loseAnswer && consumeFault(m_cutAnswers);
    const std::uint16_t status = m_failStatus != 0 ? m_failStatus : 200;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    const nlohmann::json answer
        = { { "service", m_name }, { "executions", number }, { "path", call.path() }, { "body", body } };
    if (cutAnswer) {
        const std::string text = answer.dump();
        call.startStream(status, { { "Content-Type", "application/json" } });
        call.sendChunk(text.substr(0, text.size() / 2));
    }
    if (cutAnswer || loseAnswer)
        call.abandon();
    else
        respondJson(call, status, answer);
}

void fake_service::setFaults(const nlohmann::json& document)
{
    {
        const std::lock_guard lock(m_mutex);
        setIfPresent(document, "hold", m_hold);
        setIfPresent(document, "delay_ms", m_delayMs);
        setIfPresent(document, "lose_answers", m_loseAnswers);
        setIfPresent(document, "cut_answers", m_cutAnswers);
        setIfPresent(document, "fail_status", m_failStatus);
    }
    m_released.notify_all();
}

nlohmann::json fake_service::executions()
{
    const std::lock_guard lock(m_mutex);
    return { { "total", m_total }, { "by_key", m_byKey }, { "by_request", m_byRequest },
        { "by_team", m_byTeam }, { "headers", m_headers.document() } };
}

} // namespace sagesaddle::testing
