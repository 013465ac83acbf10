#include "Fleet/config_freshness.h"

#include <algorithm>

namespace sagesaddle {

config_freshness::config_freshness(monotonic_duration maxConfigAge)
    : m_maxConfigAge(maxConfigAge)
{
}

void config_freshness::onConfigConfirmed(monotonic_time sentAt)
{
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, sentAt) : sentAt;
}

bool config_freshness::mayAcceptApiKeys(monotonic_time now) const
{
    return m_confirmedAt && now - *m_confirmedAt < m_maxConfigAge;
}

std::optional<monotonic_duration> config_freshness::age(monotonic_time now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return now - *m_confirmedAt;
}

} // namespace sagesaddle
