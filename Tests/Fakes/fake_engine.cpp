#include "Fakes/fake_engine.h"

#include "Base/clock.h"
#include "Base/scope_guard.h"
#include "Fakes/fake_call.h"
#include "Fakes/fake_program.h"

#include <algorithm>
#include <sstream>
#include <thread>

namespace sagesaddle::testing {

namespace {

constexpr std::uint64_t defaultAnswerTokens = 16;
constexpr std::size_t maxRecentClasses = 100;

std::string textOf(const nlohmann::json& content)
{
    if (content.is_string())
        return content;
    std::string text;
    for (const auto& part : content)
        text += part.value("text", "");
    return text;
}

std::vector<std::string> wordsOf(const std::string& text)
{
    std::istringstream stream(text);
    return { std::istream_iterator<std::string>(stream), {} };
}

nlohmann::json chunk(const std::string& model, nlohmann::json choices)
{
    return { { "id", "chatcmpl-1" }, { "object", "chat.completion.chunk" }, { "created", 0 },
        { "model", model }, { "choices", std::move(choices) } };
}

nlohmann::json deltaChoice(nlohmann::json delta, nlohmann::json finishReason)
{
    return nlohmann::json::array(
        { { { "index", 0 }, { "delta", std::move(delta) }, { "finish_reason", std::move(finishReason) } } });
}

} // namespace

std::string fake_engine::completion::token(std::uint64_t index) const
{
    return (index == 0 ? "" : " ") + words[index % words.size()];
}

nlohmann::json fake_engine::completion::usage() const
{
    return { { "prompt_tokens", promptTokens }, { "completion_tokens", answerTokens },
        { "total_tokens", promptTokens + answerTokens } };
}

fake_engine::fake_engine(const options& given)
    : m_options(given)
    , m_memory(given.memory)
    , m_prefixes(given.cachedPrefixes)
{
    m_faults.tokensPerSecond = given.tokensPerSecond;
}

void fake_engine::handle(http_call& call)
{
    const std::string path = call.path();
    if (path == "/v1/chat/completions")
        return complete(call);
    if (path == "/control/orders")
        return m_memory.handleOrder(call);
    if (path == "/control/report")
        return respondJson(call, 200, report());
    if (path == "/control/cache-events")
        return respondJson(call, 200, m_prefixes.events(queryNumber(call, "from", 0)));
    if (path == "/admin/stats")
        return respondJson(call, 200, stats());
    if (path == "/admin/faults") {
        const nlohmann::json document = readJson(call);
        m_memory.setFaults(document);
        setFaults(document);
        return respondJson(call, 200, nlohmann::json::object());
    }
    respondJson(call, 404, { { "error", "no such path: " + path } });
}

fake_engine::completion fake_engine::parseCompletion(const nlohmann::json& document, const http_call& call)
{
    completion request;
    request.model = document.at("model");
    const auto& messages = document.at("messages");
    for (const auto& item : messages)
        request.promptTokens += wordsOf(textOf(item.at("content"))).size();
    request.words = wordsOf(textOf(messages.back().at("content")));
    if (request.words.empty())
        request.words = { "nothing" };
    request.answerTokens
        = document.value("max_tokens", document.value("max_completion_tokens", defaultAnswerTokens));
    request.stream = document.value("stream", false);
    request.batchPriority = firstHeader(call, "X-Priority") == "batch";
    return request;
}

void fake_engine::complete(http_call& call)
{
    const nlohmann::json document = readJson(call);
    const completion request = parseCompletion(document, call);
    if (!m_memory.isLoaded(request.model))
        return respondJson(call, 404,
            { { "error",
                { { "message", "model " + request.model + " is not loaded" },
                    { "code", "model_not_found" } } } });
    m_prefixes.use(textOf(document.at("messages").front().at("content")));
    {
        const std::lock_guard lock(m_mutex);
        recordRequest(call);
        ++m_byModelAndTeam[request.model][firstHeader(call, "X-Sagesaddle-Team")];
        m_tokensByTeam[firstHeader(call, "X-Sagesaddle-Team")] += request.promptTokens + request.answerTokens;
    }
    waitForSlot(request.batchPriority);
    const scope_guard release([this] { releaseSlot(); });
    generate(call, request);
}

void fake_engine::recordRequest(const http_call& call)
{
    m_headers.add(call.headers());
    ++m_byTeam[firstHeader(call, "X-Sagesaddle-Team")];
    ++m_byRequest[firstHeader(call, "X-Request-Id")];
}

void fake_engine::waitForSlot(bool batchPriority)
{
    std::unique_lock lock(m_mutex);
    ++m_waiting[batchPriority];
    m_changed.wait(
        lock, [&] { return m_running < m_options.batch && (!batchPriority || m_waiting[false] == 0); });
    --m_waiting[batchPriority];
    ++m_running;
    m_recentClasses.emplace_back(batchPriority ? "batch" : "interactive");
    if (m_recentClasses.size() > maxRecentClasses)
        m_recentClasses.pop_front();
    m_changed.wait_for(lock, maxHoldTime, [this] { return !m_faults.hold; });
}

void fake_engine::releaseSlot()
{
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
    }
    m_changed.notify_all();
}

void fake_engine::generate(http_call& call, const completion& request)
{
    milliseconds delay {};
    {
        const std::lock_guard lock(m_mutex);
        delay = milliseconds(m_faults.delayAnswersMs);
    }
    std::this_thread::sleep_for(delay);
    if (request.stream)
        sendStream(call, request);
    else
        sendPlainAnswer(call, request);
}

void fake_engine::sendPlainAnswer(http_call& call, const completion& request)
{
    std::string text;
    for (std::uint64_t index = 0; index < request.answerTokens; ++index) {
        waitForNextToken();
        text += request.token(index);
    }
    const std::string body = nlohmann::json {
        { "id", "chatcmpl-1" }, { "object", "chat.completion" }, { "created", 0 }, { "model", request.model },
        { "choices",
            nlohmann::json::array({ { { "index", 0 }, { "finish_reason", "stop" },
                { "message", { { "role", "assistant" }, { "content", text } } } } }) },
        { "usage", request.usage() }
    }.dump();
    std::unique_lock lock(m_mutex);
    const bool isCut = consumeFault(m_faults.cutAnswers);
    ++m_completed;
    lock.unlock();
    if (!isCut)
        return call.respond(200, { { "Content-Type", "application/json" } }, body);
    call.startStream(200, { { "Content-Type", "application/json" } });
    call.sendChunk(body.substr(0, body.size() / 2));
    call.abandon();
}

void fake_engine::sendStream(http_call& call, const completion& request)
{
    std::uint32_t eventsLeft = 0;
    bool endsCleanly = false;
    {
        const std::lock_guard lock(m_mutex);
        eventsLeft = std::exchange(m_faults.cutAfterEvents, 0);
        endsCleanly = m_faults.cutCleanly;
    }
    const bool willCut = eventsLeft > 0;
    bool isOpen = call.startStream(200, { { "Content-Type", "text/event-stream" } });
    const auto send = [&](const std::string& data) {
        if (willCut && eventsLeft == 0)
            isOpen = false;
        isOpen = isOpen && call.sendChunk("data: " + data + "\n\n");
        eventsLeft -= willCut && eventsLeft > 0;
    };
    for (std::uint64_t index = 0; index < request.answerTokens && isOpen; ++index) {
        waitForNextToken();
        send(chunk(request.model, deltaChoice({ { "content", request.token(index) } }, nullptr)).dump());
    }
    send(chunk(request.model, deltaChoice(nlohmann::json::object(), "stop")).dump());
    nlohmann::json last = chunk(request.model, nlohmann::json::array());
    last["usage"] = request.usage();
    send(last.dump());
    send("[DONE]");
    isOpen = isOpen && call.endStream();
    if (!isOpen && endsCleanly)
        call.endStream();
    else if (!isOpen)
        call.abandon();
    const std::lock_guard lock(m_mutex);
    ++(isOpen ? m_completed : m_cancelled);
}

void fake_engine::waitForNextToken()
{
    double rate = 0;
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, maxHoldTime, [this] { return !m_faults.hold; });
        rate = m_faults.tokensPerSecond;
    }
    if (rate > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(1 / rate));
}

void fake_engine::setFaults(const nlohmann::json& document)
{
    {
        const std::lock_guard lock(m_mutex);
        setIfPresent(document, "hold", m_faults.hold);
        setIfPresent(document, "cut_after_events", m_faults.cutAfterEvents);
        setIfPresent(document, "cut_cleanly", m_faults.cutCleanly);
        setIfPresent(document, "cut_answers", m_faults.cutAnswers);
        setIfPresent(document, "delay_answers_ms", m_faults.delayAnswersMs);
        setIfPresent(document, "tokens_per_second", m_faults.tokensPerSecond);
    }
    m_changed.notify_all();
}

nlohmann::json fake_engine::report()
{
    nlohmann::json document = m_memory.report();
    const std::lock_guard lock(m_mutex);
    document["running"] = m_running;
    document["waiting"] = m_waiting[false] + m_waiting[true];
    return document;
}

nlohmann::json fake_engine::stats()
{
    nlohmann::json document = m_memory.stats();
    const std::lock_guard lock(m_mutex);
    document.update({ { "by_team", m_byTeam }, { "by_request", m_byRequest },
        { "by_model_and_team", m_byModelAndTeam }, { "tokens_by_team", m_tokensByTeam },
        { "headers", m_headers.document() }, { "recent_classes", m_recentClasses }, { "running", m_running },
        { "completed", m_completed }, { "cancelled", m_cancelled } });
    return document;
}

} // namespace sagesaddle::testing
