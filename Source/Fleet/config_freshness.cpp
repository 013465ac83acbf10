#include "Fleet/config_freshness.h"

#include <algorithm>

namespace sagesaddle {

config_freshness::config_freshness(monotonic_span keysFor)
    : m_keysFor(keysFor)
{
}

void config_freshness::onConfigConfirmed(monotonic_time sentAt)
{
    m_provenAt = m_provenAt ? std::max(*m_provenAt, sentAt) : sentAt;
}

bool config_freshness::mayAcceptApiKeys(monotonic_time now) const
{
    return m_provenAt && now - *m_provenAt < m_keysFor;
}

std::optional<monotonic_span> config_freshness::age(monotonic_time now) const
{
    if (!m_provenAt)
        return std::nullopt;
    return now - *m_provenAt;
}

} // namespace sagesaddle
