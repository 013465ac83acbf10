#include "Fleet/lease_outlasting.h"

namespace sagesaddle {

void lease_outlasting::onLeaseHeld(monotonic_time now)
{
    m_lastHeldAt = now;
    m_lastAllowedAt = now;
}

bool lease_outlasting::mayGoOn(const store_silence& silence, monotonic_time now)
{
    const bool wasAllowed = m_lastAllowedAt && now - *m_lastAllowedAt < silence.maxReportAge;
    // Reports of answers from before the silence end within the reserve of a report's age.
    const bool isGrace = m_lastHeldAt && now - *m_lastHeldAt < silence.maxReportAge;
    const bool isSilent = silence.isSilentForAll || (isGrace && silence.hearsAllGateways);
    if (!wasAllowed || !silence.isOwnStoreSilent || !isSilent) {
        m_lastAllowedAt.reset();
        return false;
    }
    m_lastAllowedAt = now;
    return true;
}

} // namespace sagesaddle
