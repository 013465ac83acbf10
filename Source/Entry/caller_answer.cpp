#include "Entry/caller_answer.h"

#include "Base/letter_case.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace sagesaddle {

namespace {

/// Size in bytes of an incomplete event that is buffered.
constexpr std::size_t maxEventBytes = std::size_t { 4 } << 20U;

/// Headers of an upstream's answer that callers do not get: they belong to one connection, or the entry sets
/// its own.
constexpr std::array<std::string_view, 10> nonForwardedAnswerHeaders { "connection", "keep-alive",
    "proxy-connection", "transfer-encoding", "content-length", "upgrade", "trailer", "te", "date",
    "traceparent" };

bool isForwarded(const std::string& lowerName)
{
    return !lowerName.starts_with("x-sagesaddle-")
        && std::find(nonForwardedAnswerHeaders.begin(), nonForwardedAnswerHeaders.end(), lowerName)
        == nonForwardedAnswerHeaders.end();
}

void addTraceHeaders(http_call::header_list& headers, const trace_context& trace)
{
    headers.emplace_back("X-Trace-Id", trace.traceId);
    headers.emplace_back("traceparent", formatTraceparent(trace));
}

} // namespace

caller_answer::caller_answer(http_call& call, const trace_context& trace, std::size_t maxHeldBytes)
    : m_call(call)
    , m_trace(trace)
    , m_maxHeldBytes(maxHeldBytes)
{
}

void caller_answer::onHead(const answer_head& head)
{
    m_headStatus = head.status;
    for (const auto& [name, value] : head.headers) {
        const std::string key = toLowerAscii(name);
        if (key == "content-type")
            m_isEventStream = toLowerAscii(value).starts_with("text/event-stream");
        if (isForwarded(key))
            m_headers.emplace_back(name, value);
    }
    addTraceHeaders(m_headers, m_trace);
}

bool caller_answer::start()
{
    m_started = true;
    m_status = m_headStatus;
    return m_call.startStream(m_headStatus, m_headers);
}

bool caller_answer::sendEvents(const std::string& events)
{
    if (events.empty())
        return true;
    if (!m_started && !start())
        return false;
    return m_call.sendChunk(events);
}

bool caller_answer::onData(std::string_view bytes)
{
    if (m_isEventStream) {
        const bool sent = sendEvents(m_eventSplitter.feed(bytes));
        if (m_eventSplitter.pendingBytes() > maxEventBytes)
            throw request_refused({ .status = 502,
                .reason = "upstream_failed",
                .detail = "an event of the answer is too long",
                .runVerdict = verdict::MayHaveRun });
        return sent;
    }
    if (m_started)
        return m_call.sendChunk(bytes);
    m_heldBody.append(bytes);
    if (m_heldBody.size() <= m_maxHeldBytes)
        return true;
    return start() && m_call.sendChunk(std::exchange(m_heldBody, {}));
}

bool caller_answer::finish()
{
    if (m_isEventStream && !sendEvents(m_eventSplitter.finish()))
        return false;
    if (m_started)
        return m_call.endStream();
    m_started = true;
    m_status = m_headStatus;
    m_call.respond(m_headStatus, m_headers, m_heldBody);
    return true;
}

void caller_answer::reset()
{
    m_headStatus = 0;
    m_headers.clear();
    m_isEventStream = false;
    m_heldBody.clear();
    m_eventSplitter = {};
}

void caller_answer::refuse(const refusal& why)
{
    const std::string problem = formatProblem(why, m_trace.traceId);
    if (m_started) {
        if (m_isEventStream)
            m_call.sendChunk("event: error\ndata: " + problem + "\n\n");
        m_call.abandon();
        return;
    }
    m_started = true;
    m_status = why.status;
    http_call::header_list headers { { "Content-Type", "application/problem+json" } };
    addTraceHeaders(headers, m_trace);
    if (why.retryAfterMs > 0)
        headers.emplace_back("Retry-After", std::to_string(retryAfterSeconds(why.retryAfterMs)));
    if (why.status == 401)
        headers.emplace_back("WWW-Authenticate", "Bearer");
    m_call.respond(why.status, headers, problem);
}

} // namespace sagesaddle
