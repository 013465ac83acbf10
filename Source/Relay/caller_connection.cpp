#include "Relay/caller_connection.h"

#include "Relay/refusal_answer.h"
#include "Relay/relay.h"
#include "Relay/relay_exchange.h"
#include "caller_wire.h"

#include <charconv>
#include <limits>

namespace sagesaddle {

namespace {

// Bytes of further requests, sent while one is being answered, above which reading from the caller is paused.
constexpr std::size_t maxAheadBytes = 16384;
// Bytes of answers that the caller has not read above which no further request is read.
constexpr std::size_t maxUnreadAnswerBytes = 65536;
// Size of a body from which on the head decides whether any upstream can get the request; below that, one
// look at route and key, when the request is complete, is cheaper.
constexpr std::size_t checkedBodyBytes = 4096;
// Unwritten bytes of an answer above which reading from its upstream is paused.
constexpr std::size_t pauseAboveBytes = 262144;
// Time for a caller to read the last answer and close, before this side closes the connection.
constexpr milliseconds closingTimeout { 1000 };
// Longest time for which the rest of a refused request is discarded while it keeps coming. A caller that
// sends a whole body before it reads would otherwise lose the refusal to a reset.
constexpr milliseconds maxDiscardTime { 5000 };
constexpr refusal_response requestTimeout { 408, "request_timeout", true };

/// \return the size of a request's body as its head says; the largest number if the body is chunked.
std::size_t statedBodyBytes(const http_head& head)
{
    if (head.find("Transfer-Encoding") != nullptr)
        return std::numeric_limits<std::size_t>::max();
    const std::string* length = head.find("Content-Length");
    std::size_t bytes = 0;
    if (length != nullptr)
        std::from_chars(length->data(), length->data() + length->size(), bytes);
    return bytes;
}

} // namespace

caller_connection::caller_connection(relay& owner, evutil_socket_t socket)
    : m_owner(owner)
    , m_stream(std::make_unique<tcp_stream>(owner.loop(), socket))
    , m_timeoutTimer(owner.loop(), [this] { onTimeout(); })
{
    m_stream->limitUnread(maxAheadBytes);
    m_reader = std::make_unique<http_reader>(http_reader::message::Requests, owner.limits().maxHeadBytes,
        http_reader::handlers { [this](http_head head) { onHead(std::move(head)); },
            [this](std::string_view bytes) { onBody(bytes); }, [this] { onRequest(); } });
    m_stream->setHandlers(
        { {}, [this] { read(); }, [this] { onWritten(); }, [this](stream_end) { onDisconnected(); } });
    m_timeoutTimer.start(owner.limits().idleTimeout);
}

caller_connection::~caller_connection() = default;

void caller_connection::onTimeout()
{
    const auto self = shared_from_this();
    const bool hasDiscarded = std::exchange(m_consumedAtTimeout, m_consumedBytes) != m_consumedBytes;
    if (m_refusedEarly && hasDiscarded && monotonicNow() - m_refusedAt < maxDiscardTime) {
        m_timeoutTimer.start(closingTimeout);
        return;
    }
    if (hasUnreadAnswers()) {
        // A caller that reads slowly keeps its connection.
        if (std::exchange(m_handedOverAtIdle, m_stream->handedOver()) == m_stream->handedOver())
            close("time");
        else
            m_timeoutTimer.start(m_owner.limits().idleTimeout);
        return;
    }
    // After the process was suspended, bytes that arrived in time are still unread: read them before the
    // timeout applies.
    if (!m_closesWhenWritten && m_stream->hasIncoming())
        m_timeoutTimer.start(m_owner.limits().headTimeout);
    else if (m_reader->isInMessage() && !m_closesWhenWritten)
        refuseEarly(requestTimeout, {});
    else if (const auto timeLeft = idleTimeLeft(); timeLeft > monotonic_duration::zero())
        m_timeoutTimer.start(timeLeft);
    else
        close("time");
}

bool caller_connection::hasUnreadAnswers() const
{
    return !m_exchange && !m_closesWhenWritten && m_stream->unwritten() > maxUnreadAnswerBytes;
}

void caller_connection::read()
{
    const auto self = shared_from_this();
    while (!m_closed) {
        const auto bytes = m_stream->readable();
        if (bytes.empty())
            return;
        if (m_refusedEarly || m_closesWhenWritten) {
            m_consumedBytes += bytes.size();
            m_stream->consume(bytes.size());
            return;
        }
        if (m_exchange || m_isReadPaused || hasUnreadAnswers())
            return;
        if (!m_reader->isInMessage())
            m_timeoutTimer.start(m_owner.limits().headTimeout);
        const std::size_t consumed = m_reader->feed(bytes);
        if (m_closed)
            return;
        m_stream->consume(consumed);
        m_consumedBytes += consumed;
        if (m_reader->failed() && !m_refusedEarly)
            refuseEarly(
                m_reader->isHeadTooLarge() ? refusal_reason::HeadTooLarge : refusal_reason::BadRequest);
        else if (!m_owner.admitHeldBytes(*this) && !m_refusedEarly)
            return;
        if (m_refusedEarly)
            m_reader->abandon();
    }
}

void caller_connection::onHead(http_head head)
{
    m_arrivedAt = monotonicNow();
    m_bodyBytes = 0;
    m_refusal.reset();
    m_keepsAlive = head.keepsAlive;
    m_isHeadRequest = head.method == "HEAD";
    const std::size_t bodyBytes = statedBodyBytes(head);
    if (bodyBytes > checkedBodyBytes)
        m_refusal = m_owner.refusalOfHead(head);
    const std::string* expects = head.find("Expect");
    const bool isAsking = expects != nullptr && equalsIgnoringCase(*expects, "100-continue");
    m_headHeldBytes = head.heldBytes();
    m_head = std::move(head);
    if (isAsking && m_refusal) {
        refuseEarly(*m_refusal);
        return;
    }
    if (isAsking)
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    // The body may take longer than the head, but its time is bounded too.
    m_timeoutTimer.start(m_owner.limits().idleTimeout);
}

void caller_connection::onBody(std::string_view bytes)
{
    if (m_refusedEarly)
        return;
    m_bodyBytes += bytes.size();
    if (m_bodyBytes > m_owner.limits().maxBodyBytes)
        refuseEarly(refusal_reason::BodyTooLarge);
    else if (!m_refusal)
        m_body.append(bytes);
}

void caller_connection::onRequest()
{
    if (m_refusedEarly)
        return;
    m_timeoutTimer.stop();
    m_exchange = std::make_shared<relay_exchange>(m_owner, *this, m_arrivedAt);
    // start() may end the exchange, which resets m_exchange; this copy keeps it alive.
    const auto started = m_exchange;
    const http_head head = std::exchange(m_head, {});
    started->start(head, std::exchange(m_body, {}), m_refusal);
}

void caller_connection::refuseEarly(refusal_reason reason, std::optional<milliseconds> retryAfter)
{
    m_owner.recordEarlyRefusal(reason);
    refuseEarly(refusalOf(reason), retryAfter);
}

void caller_connection::refuseEarly(const refusal_response& response, std::optional<milliseconds> retryAfter)
{
    m_refusedEarly = true;
    m_refusedAt = monotonicNow();
    m_consumedAtTimeout = m_consumedBytes;
    m_keepsAlive = false;
    m_timeoutTimer.stop();
    const std::string* id = m_head.find(platform::requestIdField());
    const refusal_answer answer = refusalAnswer(response, id == nullptr ? std::string() : *id, retryAfter);
    // An assignment of an empty text would keep the allocated memory.
    static_cast<void>(std::exchange(m_head, {}));
    static_cast<void>(std::exchange(m_body, {}));
    sendAnswer(response.status, answer.fields, answer.body);
    // What still comes is read and discarded: a refusal could be lost if the connection were reset.
    resumeReading();
}

void caller_connection::appendHead(std::string& out, int status, const std::vector<http_field>& fields) const
{
    out.append("HTTP/1.1 ")
        .append(std::to_string(status))
        .append(" ")
        .append(reasonPhrase(status))
        .append("\r\n");
    for (const auto& field : fields)
        appendField(out, field.name, field.value);
    if (!m_keepsAlive)
        appendField(out, "Connection", "close");
}

void caller_connection::sendAnswer(int status, const std::vector<http_field>& fields, std::string_view body)
{
    if (m_owner.isDraining())
        m_keepsAlive = false;
    std::string out;
    appendHead(out, status, fields);
    if (status != 204 && status != 304)
        appendField(out, "Content-Length", std::to_string(body.size()));
    out.append("\r\n");
    if (!m_isHeadRequest)
        out.append(body);
    m_stream->write(out);
    finishAnswer();
}

void caller_connection::beginChunkedAnswer(
    int status, const std::vector<http_field>& fields, std::string_view firstBytes)
{
    if (m_owner.isDraining())
        m_keepsAlive = false;
    m_isChunked = true;
    std::string out;
    appendHead(out, status, fields);
    appendField(out, "Transfer-Encoding", "chunked");
    out.append("\r\n");
    appendChunk(out, firstBytes);
    m_stream->write(out);
}

void caller_connection::sendBody(std::string_view bytes)
{
    std::string out;
    out.reserve(bytes.size() + 16);
    appendChunk(out, bytes);
    m_stream->write(out);
    noteHeldBytes();
    if (m_stream->unwritten() > pauseAboveBytes && m_exchange)
        m_exchange->pauseUpstream(true);
}

void caller_connection::endBody()
{
    m_stream->write(lastChunk);
    finishAnswer();
}

monotonic_duration caller_connection::idleTimeLeft() const
{
    if (m_closesWhenWritten || m_refusedEarly)
        return {};
    return m_idleSince + m_owner.limits().idleTimeout - monotonicNow();
}

void caller_connection::finishAnswer()
{
    m_exchange.reset();
    m_isChunked = false;
    m_headHeldBytes = 0;
    noteHeldBytes();
    if (!m_keepsAlive) {
        m_closesWhenWritten = true;
        m_timeoutTimer.start(closingTimeout);
        return;
    }
    m_idleSince = monotonicNow();
    m_handedOverAtIdle = m_stream->handedOver();
    m_timeoutTimer.start(m_owner.limits().idleTimeout);
    m_owner.scheduleRead(shared_from_this());
}

void caller_connection::onWritten()
{
    const auto self = shared_from_this();
    if (m_exchange)
        m_exchange->pauseUpstream(false);
    else if (m_stream->unread() > 0)
        m_owner.scheduleRead(self);
    noteHeldBytes();
    // A caller that is still sending closes first: closing here would reset the connection and lose the
    // answer.
    if (m_closesWhenWritten && !m_refusedEarly)
        close("answered");
}

void caller_connection::onDisconnected()
{
    const auto self = shared_from_this();
    endExchange();
    close("caller");
}

void caller_connection::endExchange()
{
    if (const auto ended = std::exchange(m_exchange, nullptr))
        ended->onCallerDisconnected();
}

void caller_connection::abortAnswer()
{
    m_exchange.reset();
    close("broke_off");
}

bool caller_connection::closeIfIdle()
{
    // A request that has already arrived is answered.
    if (!isIdle() || m_stream->hasIncoming())
        return false;
    close("idle");
    return true;
}

void caller_connection::close(std::string_view reason)
{
    if (m_closed)
        return;
    const bool hasIncoming = m_stream->hasIncoming();
    if (m_exchange || hasIncoming || m_reader->isInMessage() || m_stream->unwritten() > 0)
        m_owner.logCallerCut(
            reason, m_exchange != nullptr, hasIncoming || m_reader->isInMessage(), m_stream->unwritten());
    m_closed = true;
    m_timeoutTimer.stop();
    // The socket stays open until the next turn of the loop, so that what was just written is still sent.
    m_stream->setHandlers({});
    noteHeldBytes();
    m_owner.removeCaller(*this);
}

} // namespace sagesaddle
