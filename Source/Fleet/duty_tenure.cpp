#include "Fleet/duty_tenure.h"

#include <algorithm>

namespace sagesaddle {

duty_tenure::duty_tenure(monotonic_span timeToLive, monotonic_span margin, monotonic_span settleTime)
    : m_timeToLive(timeToLive)
    , m_margin(margin)
    , m_settleTime(settleTime)
{
}

void duty_tenure::onJoined(monotonic_time sentAt, std::uint64_t generation, bool isHolder, monotonic_time now)
{
    m_generation = std::max(m_generation, generation);
    if (!isHolder) {
        m_since.reset();
        return;
    }
    if (!holds(now)) {
        m_since = now;
        m_fence = generation;
    }
    m_until = std::max(m_until, sentAt + m_timeToLive - m_margin);
}

void duty_tenure::resign()
{
    m_since.reset();
}

bool duty_tenure::holds(monotonic_time now) const
{
    return m_since && now < m_until;
}

bool duty_tenure::mayOrder(monotonic_time now) const
{
    return holds(now) && now - *m_since >= m_settleTime;
}

} // namespace sagesaddle
