#include "Relay/upstream_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sagesaddle {

namespace {

// Heads of upstreams' answers are a few hundred bytes.
constexpr std::size_t maxAnswerHeadBytes = 32768;
// Unacknowledged bytes for so long mean a lost path; above the resends of a lossy link.
constexpr milliseconds pathSilence { 3000 };
// Idle time after which a link is not used again where the upstream names no limit.
constexpr milliseconds standardIdleLimit { 4000 };
// Part of the upstream's own limit that is used, so that its close and our request do not cross.
constexpr int idleLimitPercent = 60;

} // namespace

upstream_connection::upstream_connection(
    event_loop& loop, const address& peer, std::function<void(upstream_connection&)> onIdleEnd)
    : m_stream(std::make_unique<tcp_stream>(loop, peer, pathSilence))
    , m_onIdleEnd(std::move(onIdleEnd))
    , m_idleLimit(standardIdleLimit)
{
    m_reader = std::make_unique<http_reader>(http_reader::message::Answers, maxAnswerHeadBytes,
        http_reader::handlers { [this](http_head head) {
                                   m_keepsAlive = head.keepsAlive;
                                   learnIdleLimit(head);
                                   if (m_user.onHead)
                                       m_user.onHead(std::move(head));
                               },
            [this](std::string_view bytes) {
                if (m_user.onBody)
                    m_user.onBody(bytes);
            },
            [this] { m_answerEnded = true; } });
    m_stream->handle({ [this] {
                          m_connected = true;
                          const auto self = shared_from_this();
                          if (m_user.onConnected)
                              m_user.onConnected();
                      },
        [this] { read(); }, {}, [this](stream_end how) { end(how); } });
}

void upstream_connection::learnIdleLimit(const http_head& head)
{
    const std::string* value = head.find("Keep-Alive");
    if (value == nullptr)
        return;
    constexpr std::string_view name = "timeout=";
    const std::size_t at = value->find(name);
    if (at == std::string::npos)
        return;
    int limit = 0;
    std::from_chars(value->data() + at + name.size(), value->data() + value->size(), limit);
    m_idleLimit = milliseconds(limit * 1000 * idleLimitPercent / 100);
}

void upstream_connection::attach(upstream_connection_handlers user)
{
    m_user = std::move(user);
    m_inUse = true;
}

void upstream_connection::detach()
{
    m_user = {};
    m_inUse = false;
    m_idleSince = monotonicNow();
}

bool upstream_connection::isReusable()
{
    return !m_closed && m_keepsAlive && !m_reader->failed() && !m_reader->isInMessage() && !hasUnwritten()
        && m_stream->readable().empty();
}

void upstream_connection::close()
{
    m_closed = true;
    m_user = {};
    m_stream->handle({});
}

void upstream_connection::read()
{
    const auto self = shared_from_this();
    while (!m_closed) {
        const auto bytes = m_stream->readable();
        if (bytes.empty())
            return;
        if (!m_inUse) {
            // Bytes that no request waits for.
            m_onIdleEnd(*this);
            return;
        }
        const std::size_t taken = m_reader->feed(bytes);
        if (m_closed)
            return;
        m_stream->consume(taken);
        if (m_reader->failed()) {
            end(stream_end::Broken);
            return;
        }
        tellEnd();
    }
}

void upstream_connection::tellEnd()
{
    if (!std::exchange(m_answerEnded, false))
        return;
    const auto handler = m_user.onEnd;
    if (handler)
        handler();
}

void upstream_connection::end(stream_end how)
{
    const auto self = shared_from_this();
    m_keepsAlive = false;
    if (!m_inUse) {
        m_onIdleEnd(*this);
        return;
    }
    if (how == stream_end::Closed && m_reader->feedEnd()) {
        tellEnd();
        return;
    }
    const auto handler = m_user.onBroken;
    if (handler)
        handler();
}

upstream_pool::upstream_pool(event_loop& loop, address peer)
    : m_loop(loop)
    , m_peer(std::move(peer))
{
}

upstream_pool::~upstream_pool()
{
    for (const auto& link : m_idle)
        link->close();
}

upstream_connection_ptr upstream_pool::acquire(bool fresh)
{
    const monotonic_time now = monotonicNow();
    while (!fresh && !m_idle.empty()) {
        auto link = m_idle.back();
        m_idle.pop_back();
        if (now - link->idleSince() < link->idleLimit())
            return link;
        link->close();
    }
    return std::make_shared<upstream_connection>(
        m_loop, m_peer, [this](upstream_connection& link) { drop(link); });
}

void upstream_pool::release(const upstream_connection_ptr& link)
{
    if (!link->isReusable()) {
        link->close();
        return;
    }
    link->detach();
    m_idle.push_back(link);
    while (!m_idle.empty() && monotonicNow() - m_idle.front()->idleSince() >= m_idle.front()->idleLimit()) {
        m_idle.front()->close();
        m_idle.pop_front();
    }
}

void upstream_pool::drop(upstream_connection& link)
{
    const auto found = std::find_if(m_idle.begin(), m_idle.end(),
        [&](const upstream_connection_ptr& idle) { return idle.get() == &link; });
    if (found == m_idle.end())
        return;
    (*found)->close();
    m_idle.erase(found);
}

} // namespace sagesaddle
