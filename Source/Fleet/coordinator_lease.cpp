#include "Fleet/coordinator_lease.h"

#include "Fleet/fleet_timing.h"
#include "Fleet/store_position.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// Time until the next action after a read or append that was not answered.
constexpr milliseconds failureRetryDelay { 150 };

} // namespace

coordinator_lease::coordinator_lease(std::string self, std::string endpointPrefix, lease_times times)
    : m_self(std::move(self))
    , m_endpointPrefix(std::move(endpointPrefix))
    , m_times(times)
    , m_readInterval(fleetTimingFor(1).leaseReadInterval)
{
}

bool coordinator_lease::isFromSameEndpoint(const std::string& holder) const
{
    return holder.starts_with(m_endpointPrefix);
}

bool coordinator_lease::holds(monotonic_time now) const
{
    return !m_resigned && m_term && now < m_term->heldUntil;
}

bool coordinator_lease::maySendOrders(monotonic_time now) const
{
    return holds(now) && now >= m_term->ordersAllowedFrom;
}

bool coordinator_lease::isPredecessorDone() const
{
    // No earlier holder's orders can be on their way if there was none, or if it ran at this endpoint and had
    // itself waited for those of its predecessor.
    return !m_storeReturnedAt
        && (offsetOfPosition(m_record.end) == 0
            || (isFromSameEndpoint(m_record.holder) && m_record.isHandoverComplete));
}

coordinator_lease::append coordinator_lease::makeAppend(monotonic_time now, bool isRelease) const
{
    return { m_record.end, isRelease, m_term ? now >= m_term->ordersAllowedFrom : isPredecessorDone() };
}

void coordinator_lease::adopt(const coordinator_lease_record& record, monotonic_time now)
{
    if (!m_knowsRecord || record.end != m_record.end)
        m_recordSeenAt = now;
    m_knowsRecord = true;
    m_record = record;
    if (record.holder != m_self)
        m_term.reset();
}

coordinator_lease::action coordinator_lease::nextAction(monotonic_time now, bool hasLiveHolder)
{
    if (m_isAwaitingResult || now < m_nextActionAt)
        return {};
    if (m_resigned) {
        if (m_released || !m_knowsRecord || m_record.holder != m_self)
            return {};
        m_isAwaitingResult = true;
        m_isReleasing = true;
        return makeAppend(now, true);
    }
    m_isReleasing = false;
    // In what an older copy lacks another process may have held the lease.
    const bool mayBeHeldUnseen = m_storeReturnedAt && now - *m_storeReturnedAt < m_times.timeToLive;
    const bool isOwnLease = m_knowsRecord && m_record.holder == m_self && !mayBeHeldUnseen;
    if (isOwnLease) {
        if (m_term && now < m_term->renewAt)
            return {};
        m_isAwaitingResult = true;
        return makeAppend(now, false);
    }
    const bool isFree = m_record.holder.empty() || isFromSameEndpoint(m_record.holder);
    const monotonic_duration wait = m_times.acquireDelay + m_extraAcquireDelay
        + (isFree ? monotonic_duration::zero() : m_times.timeToLive);
    const bool mayAcquire = m_knowsRecord && now - m_recordSeenAt >= wait && !mayBeHeldUnseen;
    if (hasLiveHolder)
        return {};
    m_isAwaitingResult = true;
    if (mayAcquire)
        return makeAppend(now, false);
    return read {};
}

void coordinator_lease::onRead(const coordinator_lease_record& record, monotonic_time now)
{
    m_isAwaitingResult = false;
    m_nextActionAt = now + m_readInterval;
    // An answer that is older than the known record is ignored.
    if (m_knowsRecord && record.end < m_record.end)
        return;
    adopt(record, now);
    // An own term that was renewed without an answer is renewed again before it ends.
    if (m_record.holder.empty() || (m_term && m_record.holder == m_self))
        m_nextActionAt = now;
}

void coordinator_lease::onHolderAnnounced(const coordinator_lease_record& record, monotonic_time now)
{
    if (m_isAwaitingResult || record.holder == m_self || record.end < m_record.end
        || (m_knowsRecord && record.end == m_record.end))
        return;
    adopt(record, now);
}

void coordinator_lease::onReadFailed(monotonic_time now)
{
    m_isAwaitingResult = false;
    // The lease may have been renewed unseen: its timeToLive must be counted anew from the next read.
    m_knowsRecord = false;
    m_nextActionAt = now + failureRetryDelay;
}

void coordinator_lease::onAppended(monotonic_time sentAt, std::uint64_t end, monotonic_time now)
{
    m_isAwaitingResult = false;
    if (m_isReleasing) {
        m_released = true;
        m_term.reset();
        return;
    }
    if (!m_term)
        m_term = term { end, {}, isPredecessorDone() ? now : now + m_times.firstOrderDelay, {} };
    m_term->heldUntil = sentAt + m_times.timeToLive - m_times.expiryMargin;
    m_term->renewAt = sentAt + m_times.renewalInterval;
    m_record = { m_self, m_record.gateways, end, now >= m_term->ordersAllowedFrom };
    m_recordSeenAt = now;
}

void coordinator_lease::onAppendRejected(monotonic_time now)
{
    m_isAwaitingResult = false;
    m_knowsRecord = false;
    m_record = {};
    m_term.reset();
    m_nextActionAt = now;
}

void coordinator_lease::onStoreReturned(monotonic_time now)
{
    m_storeReturnedAt = now;
    m_term.reset();
    m_knowsRecord = false;
    m_record = {};
    m_nextActionAt = now;
}

void coordinator_lease::onAppendUnanswered(monotonic_time now)
{
    m_isAwaitingResult = false;
    // The record must be read again; a lease that was acknowledged before stays valid.
    m_knowsRecord = false;
    m_nextActionAt = now + failureRetryDelay;
}

} // namespace sagesaddle
