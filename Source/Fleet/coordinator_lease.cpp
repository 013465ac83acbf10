#include "Fleet/coordinator_lease.h"

#include "Fleet/fleet_timing.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// Pause after a call that was lost or declined.
constexpr milliseconds failurePause { 150 };

} // namespace

coordinator_lease::coordinator_lease(std::string self, std::string place, lease_times times)
    : m_self(std::move(self))
    , m_place(std::move(place))
    , m_times(times)
    , m_readPause(fleetTimingFor(1).leaseReadInterval)
{
}

bool coordinator_lease::isFromHere(const std::string& holder) const
{
    return holder.starts_with(m_place);
}

bool coordinator_lease::holds(monotonic_time now) const
{
    return !m_resigned && m_until && now < *m_until;
}

bool coordinator_lease::maySendOrders(monotonic_time now) const
{
    return holds(now) && now >= m_mayOrderFrom;
}

coordinator_lease::action coordinator_lease::nextAction(monotonic_time now, bool hasLiveHolder)
{
    if (m_isBusy || now < m_notBefore)
        return {};
    if (m_resigned) {
        if (m_released || !m_knowsRecord || m_record.holder != m_self)
            return {};
        m_isBusy = true;
        m_appendIsRelease = true;
        return append { m_record.end, true };
    }
    m_appendIsRelease = false;
    const bool isOwn = m_knowsRecord && m_record.holder == m_self;
    if (isOwn) {
        if (now < m_renewAt)
            return {};
        m_isBusy = true;
        return append { m_record.end, false };
    }
    const bool isFree = m_record.holder.empty() || isFromHere(m_record.holder);
    const monotonic_span wait
        = m_times.acquireDelay + m_deference + (isFree ? monotonic_span::zero() : m_times.timeToLive);
    const bool mayTake = m_knowsRecord && now - m_recordSeenAt >= wait;
    if (hasLiveHolder)
        return {};
    m_isBusy = true;
    if (mayTake)
        return append { m_record.end, false };
    return read {};
}

void coordinator_lease::onRead(const coordinator_lease_record& record, monotonic_time now)
{
    m_isBusy = false;
    m_notBefore = now + m_readPause;
    // An end before the known one is an answer from the past.
    if (m_knowsRecord && record.end < m_record.end)
        return;
    if (!m_knowsRecord || record != m_record)
        m_recordSeenAt = now;
    m_knowsRecord = true;
    m_record = record;
    if (m_record.holder.empty())
        m_notBefore = now;
}

void coordinator_lease::onHolderAnnounced(const coordinator_lease_record& record, monotonic_time now)
{
    if (m_isBusy || (m_knowsRecord && record.end <= m_record.end))
        return;
    m_knowsRecord = true;
    m_record = record;
    m_recordSeenAt = now;
}

void coordinator_lease::onReadFailed(monotonic_time now)
{
    m_isBusy = false;
    // What was not seen for a while may have been renewed: its time starts over.
    m_knowsRecord = false;
    m_notBefore = now + failurePause;
}

void coordinator_lease::onAppended(monotonic_time sentAt, std::uint64_t end, monotonic_time now)
{
    m_isBusy = false;
    if (m_appendIsRelease) {
        m_released = true;
        m_until.reset();
        return;
    }
    const bool wasOwn = m_record.holder == m_self && m_until.has_value();
    if (!wasOwn) {
        m_fence = end;
        // The first lease of all follows nobody.
        m_mayOrderFrom = end <= 1 || isFromHere(m_record.holder) ? now : now + m_times.firstOrderDelay;
    }
    m_record = { m_self, m_record.gateways, end };
    m_recordSeenAt = now;
    m_until = sentAt + m_times.timeToLive - m_times.expiryMargin;
    m_renewAt = sentAt + m_times.renewalInterval;
}

void coordinator_lease::onAppendRejected(monotonic_time now)
{
    m_isBusy = false;
    m_knowsRecord = false;
    m_record = {};
    m_until.reset();
    m_notBefore = now;
}

void coordinator_lease::onAppendUnanswered(monotonic_time now)
{
    m_isBusy = false;
    // The record is read again; the time that was proven still counts.
    m_knowsRecord = false;
    m_notBefore = now + failurePause;
}

} // namespace sagesaddle
