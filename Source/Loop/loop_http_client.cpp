#include "Loop/loop_http_client.h"

namespace sagesaddle {

namespace {

// Usual heads of answers are a few hundred bytes.
constexpr std::size_t maxAnswerHeadBytes = 16384;
// Shorter than the usual timeouts of calls, so that a lost network path is noticed within them.
constexpr milliseconds ackTimeout { 1000 };
// Time beyond the timeout within which an answer must be complete: 4 MB over the slowest link take about 4 s.
constexpr milliseconds maxExtraAnswerTime { 10000 };
// With more connections than this, a call closes its connection when it ends.
constexpr std::size_t maxKeptConnections = 3;

} // namespace

struct loop_http_client::connection {
    std::unique_ptr<tcp_stream> stream;
    std::unique_ptr<http_reader> reader;
    std::unique_ptr<timer> deadline;
    milliseconds timeout { 0 };
    monotonic_time endsAt {};
    // Empty while the connection is idle.
    on_answer handler;
    http_answer answer;
    bool keepsAlive { true };
    bool isAnswered { false };
};

loop_http_client::loop_http_client(event_loop& loop, address peer, std::size_t maxAnswerBytes)
    : m_loop(loop)
    , m_peer(std::move(peer))
    , m_maxAnswerBytes(maxAnswerBytes)
{
}

loop_http_client::~loop_http_client() = default;

std::shared_ptr<loop_http_client::connection> loop_http_client::findIdle()
{
    for (const auto& [key, value] : m_connections) {
        if (!value->handler)
            return value;
    }
    return nullptr;
}

void loop_http_client::open(const std::shared_ptr<connection>& target)
{
    // Handlers hold a plain pointer, since the connection owns what owns them.
    connection* const raw = target.get();
    target->reader = std::make_unique<http_reader>(http_reader::message::Answers, maxAnswerHeadBytes,
        http_reader::handlers { [raw](const http_head& head) {
                                   raw->answer.status = head.status;
                                   raw->answer.fields = head.fields;
                                   raw->keepsAlive = head.keepsAlive;
                               },
            [raw](std::string_view bytes) { raw->answer.body.append(bytes); },
            [raw] { raw->isAnswered = true; } });
    target->stream = std::make_unique<tcp_stream>(m_loop, m_peer, ackTimeout);
    target->deadline = std::make_unique<timer>(m_loop, [this, raw] { finish(*raw, std::nullopt, false); });
    target->stream->setHandlers({ {},
        [this, raw] {
            const auto bytes = raw->stream->readable();
            const bool isExpected = raw->handler != nullptr;
            raw->stream->consume(raw->reader->feed(bytes));
            raw->deadline->start(raw->timeout);
            const bool isOverBound
                = raw->answer.body.size() > m_maxAnswerBytes || monotonicNow() > raw->endsAt;
            if (!isExpected || isOverBound || raw->reader->failed()
                || (raw->isAnswered && !raw->stream->readable().empty()))
                finish(*raw, std::nullopt, false);
            else if (raw->isAnswered)
                finish(*raw, std::move(raw->answer), raw->keepsAlive);
        },
        {},
        [this, raw](stream_end end) {
            const bool isComplete = end == stream_end::Closed && raw->reader->feedEnd();
            finish(*raw, isComplete ? std::optional(std::move(raw->answer)) : std::nullopt, false);
        } });
}

void loop_http_client::call(std::string_view request, milliseconds timeout, on_answer handler)
{
    m_closed.clear();
    auto target = findIdle();
    if (!target) {
        target = std::make_shared<connection>();
        open(target);
        m_connections.emplace(target.get(), target);
    }
    target->answer = {};
    target->isAnswered = false;
    target->timeout = timeout;
    target->endsAt = monotonicNow() + timeout + maxExtraAnswerTime;
    target->handler = std::move(handler);
    target->stream->write(request);
    target->deadline->start(timeout);
}

void loop_http_client::finish(connection& finished, std::optional<http_answer> answer, bool isReusable)
{
    const on_answer handler = std::move(finished.handler);
    finished.handler = nullptr;
    finished.deadline->stop();
    if (!isReusable || m_connections.size() > maxKeptConnections) {
        const auto found = m_connections.find(&finished);
        if (found != m_connections.end()) {
            found->second->stream->close();
            m_closed.push_back(std::move(found->second));
            m_connections.erase(found);
        }
    }
    if (handler)
        handler(std::move(answer));
}

} // namespace sagesaddle
