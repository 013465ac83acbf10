#include "Relay/upstream_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sagesaddle {

namespace {

// Heads of upstreams' answers usually have a few hundred bytes.
constexpr std::size_t maxAnswerHeadBytes = 32768;
// Time after which unacknowledged bytes mean that the network path is lost; retransmissions on a lossy link
// take less.
constexpr milliseconds acknowledgeTimeout { 3000 };
// Idle time after which a connection is not used again if the upstream names no keep-alive timeout.
constexpr milliseconds defaultIdleLimit { 4000 };
// Part of the upstream's keep-alive timeout for which a connection is used, so that a request does not cross
// the upstream's close.
constexpr int idleLimitPercent = 60;

} // namespace

upstream_connection::upstream_connection(
    event_loop& loop, const address& peer, std::function<void(upstream_connection&)> onIdleClosed)
    : m_stream(std::make_unique<tcp_stream>(loop, peer, acknowledgeTimeout))
    , m_onIdleClosed(std::move(onIdleClosed))
    , m_idleLimit(defaultIdleLimit)
{
    m_reader = std::make_unique<http_reader>(http_reader::message::Answers, maxAnswerHeadBytes,
        http_reader::handlers { [this](http_head head) {
                                   m_keepsAlive = head.keepsAlive;
                                   updateIdleLimit(head);
                                   if (m_handlers.onHead)
                                       m_handlers.onHead(std::move(head));
                               },
            [this](std::string_view bytes) {
                if (m_handlers.onBody)
                    m_handlers.onBody(bytes);
            },
            [this] { m_answerEnded = true; } });
    m_stream->setHandlers({ [this] {
                               m_connected = true;
                               const auto self = shared_from_this();
                               if (m_handlers.onConnected)
                                   m_handlers.onConnected();
                           },
        [this] { read(); }, {}, [this](stream_end reason) { onStreamEnd(reason); } });
}

void upstream_connection::updateIdleLimit(const http_head& head)
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

void upstream_connection::attach(upstream_connection_handlers handlers)
{
    m_handlers = std::move(handlers);
    m_inUse = true;
}

void upstream_connection::detach()
{
    m_handlers = {};
    m_inUse = false;
    m_idleSince = monotonicNow();
    // The last answer may have ended while its caller was not reading.
    pauseReading(false);
}

bool upstream_connection::isReusable()
{
    return !m_closed && m_keepsAlive && !m_reader->failed() && !m_reader->isInMessage() && !hasUnwritten()
        && m_stream->readable().empty();
}

void upstream_connection::close()
{
    m_closed = true;
    m_handlers = {};
    m_stream->close();
}

void upstream_connection::read()
{
    const auto self = shared_from_this();
    while (!m_closed) {
        const auto bytes = m_stream->readable();
        if (bytes.empty())
            return;
        if (!m_inUse) {
            // No request is attached, so these bytes answer nothing and make the connection unusable.
            m_onIdleClosed(*this);
            return;
        }
        const std::size_t consumed = m_reader->feed(bytes);
        if (m_closed)
            return;
        m_stream->consume(consumed);
        if (m_reader->failed()) {
            onStreamEnd(stream_end::Broken);
            return;
        }
        notifyEnd();
    }
}

void upstream_connection::notifyEnd()
{
    if (!std::exchange(m_answerEnded, false))
        return;
    const auto handler = m_handlers.onEnd;
    if (handler)
        handler();
}

void upstream_connection::onStreamEnd(stream_end reason)
{
    const auto self = shared_from_this();
    m_keepsAlive = false;
    if (!m_inUse) {
        m_onIdleClosed(*this);
        return;
    }
    if (reason == stream_end::Closed && m_reader->feedEnd()) {
        notifyEnd();
        return;
    }
    const auto handler = m_handlers.onBroken;
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
    for (const auto& connection : m_idle)
        connection->close();
}

upstream_connection_ptr upstream_pool::acquire(bool fresh)
{
    const monotonic_time now = monotonicNow();
    while (!fresh && !m_idle.empty()) {
        auto connection = m_idle.back();
        m_idle.pop_back();
        if (now - connection->idleSince() < connection->idleLimit())
            return connection;
        connection->close();
    }
    return std::make_shared<upstream_connection>(
        m_loop, m_peer, [this](upstream_connection& connection) { remove(connection); });
}

void upstream_pool::release(const upstream_connection_ptr& connection, std::size_t maxIdle)
{
    if (!connection->isReusable()) {
        connection->close();
        return;
    }
    connection->detach();
    m_idle.push_back(connection);
    const monotonic_time now = monotonicNow();
    while (!m_idle.empty()
        && (m_idle.size() > maxIdle || now - m_idle.front()->idleSince() >= m_idle.front()->idleLimit())) {
        m_idle.front()->close();
        m_idle.pop_front();
    }
}

void upstream_pool::remove(upstream_connection& connection)
{
    const auto found = std::find_if(m_idle.begin(), m_idle.end(),
        [&](const upstream_connection_ptr& idle) { return idle.get() == &connection; });
    if (found == m_idle.end())
        return;
    (*found)->close();
    m_idle.erase(found);
}

} // namespace sagesaddle
