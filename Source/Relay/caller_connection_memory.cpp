// The functions of callers' connections for the memory that they hold.
#include "Relay/caller_connection.h"

#include "Relay/relay.h"
#include "Relay/relay_exchange.h"

namespace sagesaddle {

namespace {

// Bytes sent or read by the caller that count as progress: a caller that sends single bytes makes none.
constexpr std::uint64_t progressStepBytes = 4096;
// Unwritten bytes of an answer above which its upstream is paused while the budget is used up.
constexpr std::size_t pauseAboveTightBytes = 16384;

} // namespace

caller_stage caller_connection::stage() const
{
    if (m_stream->unwritten() > 0)
        return caller_stage::Unread;
    if (m_exchange)
        return m_exchange->mayHaveBegun() ? caller_stage::Running : caller_stage::Waiting;
    // A connection that is closing holds nothing that could be released.
    return isRefusedOrClosed() || m_closesWhenWritten ? caller_stage::Running : caller_stage::Reading;
}

std::size_t caller_connection::heldBytes() const
{
    // The spare capacity of a growing body occupies no memory until it is written to.
    return m_stream->unread() + m_stream->unwritten() + m_reader->heldBytes() + m_headHeldBytes
        + m_body.size() + (m_exchange ? m_exchange->heldBytes() : 0);
}

void caller_connection::updateAccount(caller_memory& memory)
{
    const caller_account before = m_account;
    if (m_closed) {
        m_account = {};
        memory.replace(before, m_account);
        return;
    }
    m_account.heldBytes = heldBytes();
    m_account.stage = stage();
    const std::uint64_t movedBytes = m_consumedBytes + m_stream->handedOver();
    if (before.heldBytes == 0 || m_account.stage != before.stage
        || movedBytes - m_movedAtProgress >= progressStepBytes) {
        m_account.progressAt = monotonicNow();
        m_movedAtProgress = movedBytes;
    }
    memory.replace(before, m_account);
}

void caller_connection::noteHeldBytes()
{
    m_owner.noteHeldBytes(*this);
}

bool caller_connection::pauseReading()
{
    if (m_isReadPaused || m_exchange || m_closesWhenWritten)
        return false;
    m_isReadPaused = true;
    m_stream->setReadPaused(true);
    return true;
}

void caller_connection::resumeReading()
{
    if (m_closed || !std::exchange(m_isReadPaused, false))
        return;
    m_stream->setReadPaused(false);
    m_owner.scheduleRead(shared_from_this());
}

void caller_connection::holdBackAnswer()
{
    if (!m_closed && m_exchange && m_stream->unwritten() > pauseAboveTightBytes)
        m_exchange->pauseUpstream(true);
}

void caller_connection::shed(caller_memory_action action)
{
    const auto self = shared_from_this();
    if (m_closed)
        return;
    if (action == caller_memory_action::Close) {
        endExchange();
        close("memory");
    } else if (const auto exchange = m_exchange) {
        exchange->refuse(refusal_reason::CallerMemory, m_owner.fallbackRetryAfter());
    } else {
        m_reader->abandon();
        refuseEarly(refusal_reason::CallerMemory, m_owner.fallbackRetryAfter());
    }
}

} // namespace sagesaddle
