#include "Loop/loop_http_client.h"

namespace sagesaddle {

namespace {

// Heads of the answers to calls are a few hundred bytes.
constexpr std::size_t maxAnswerHeadBytes = 16384;
// Bytes that stay unacknowledged so long mean a lost path; within the usual timeouts of calls.
constexpr milliseconds pathSilence { 1000 };
// Bytes of an answer beyond which it is no answer: the store's pages are at most 1 MB, and a third more as
// text.
constexpr std::size_t maxAnswerBytes = std::size_t { 4 } << 20U;
// Time beyond the timeout in which an answer that goes on must end: 4 MB over the thinnest link take some 4
// s.
constexpr milliseconds longestAnswer { 10000 };
// Kept connections of one peer beyond which ended calls close theirs.
constexpr std::size_t keptConnections = 3;

} // namespace

struct loop_http_client::connection {
    std::unique_ptr<tcp_stream> stream;
    std::unique_ptr<http_reader> reader;
    std::unique_ptr<timer> deadline;
    milliseconds timeout { 0 };
    monotonic_time endsAt {};
    on_answer handler;
    http_answer answer;
    bool keepsAlive { true };
    bool answered { false };
};

loop_http_client::loop_http_client(event_loop& loop, address peer)
    : m_loop(loop)
    , m_peer(std::move(peer))
{
}

loop_http_client::~loop_http_client() = default;

std::shared_ptr<loop_http_client::connection> loop_http_client::takeIdle()
{
    for (const auto& [key, value] : m_connections) {
        if (!value->handler)
            return value;
    }
    return nullptr;
}

void loop_http_client::open(const std::shared_ptr<connection>& target)
{
    connection* const raw = target.get();
    target->reader = std::make_unique<http_reader>(http_reader::message::Answers, maxAnswerHeadBytes,
        http_reader::handlers { [raw](const http_head& head) {
                                   raw->answer.status = head.status;
                                   raw->keepsAlive = head.keepsAlive;
                               },
            [raw](std::string_view bytes) { raw->answer.body.append(bytes); },
            [raw] { raw->answered = true; } });
    target->stream = std::make_unique<tcp_stream>(m_loop, m_peer, pathSilence);
    target->deadline = std::make_unique<timer>(m_loop, [this, raw] { finish(*raw, std::nullopt, false); });
    target->stream->setHandlers({ {},
        [this, raw] {
            const auto bytes = raw->stream->readable();
            const bool expected = raw->handler != nullptr;
            raw->stream->consume(raw->reader->feed(bytes));
            raw->deadline->start(raw->timeout);
            const bool isEndless = raw->answer.body.size() > maxAnswerBytes || monotonicNow() > raw->endsAt;
            if (!expected || isEndless || raw->reader->failed()
                || (raw->answered && !raw->stream->readable().empty()))
                finish(*raw, std::nullopt, false);
            else if (raw->answered)
                finish(*raw, std::move(raw->answer), raw->keepsAlive);
        },
        {},
        [this, raw](stream_end end) {
            const bool whole = end == stream_end::Closed && raw->reader->feedEnd();
            finish(*raw, whole ? std::optional(std::move(raw->answer)) : std::nullopt, false);
        } });
}

void loop_http_client::call(std::string_view request, milliseconds timeout, on_answer handler)
{
    m_ended.clear();
    auto target = takeIdle();
    if (!target) {
        target = std::make_shared<connection>();
        open(target);
        m_connections.emplace(target.get(), target);
    }
    target->answer = {};
    target->answered = false;
    target->timeout = timeout;
    target->endsAt = monotonicNow() + timeout + longestAnswer;
    target->handler = std::move(handler);
    target->stream->write(request);
    target->deadline->start(timeout);
}

void loop_http_client::finish(connection& which, std::optional<http_answer> answer, bool reusable)
{
    const on_answer handler = std::move(which.handler);
    which.handler = nullptr;
    which.deadline->stop();
    if (!reusable || m_connections.size() > keptConnections) {
        const auto found = m_connections.find(&which);
        if (found != m_connections.end()) {
            found->second->stream->setHandlers({});
            m_ended.push_back(std::move(found->second));
            m_connections.erase(found);
        }
    }
    if (handler)
        handler(std::move(answer));
}

} // namespace sagesaddle
