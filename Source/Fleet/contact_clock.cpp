#include "Fleet/contact_clock.h"

#include <algorithm>

namespace sagesaddle {

contact_clock::contact_clock(monotonic_span keysFor)
    : m_keysFor(keysFor)
{
}

void contact_clock::onProof(monotonic_time sentAt)
{
    m_provenAt = m_provenAt ? std::max(*m_provenAt, sentAt) : sentAt;
}

bool contact_clock::mayUseKeys(monotonic_time now) const
{
    return m_provenAt && now - *m_provenAt < m_keysFor;
}

std::optional<monotonic_span> contact_clock::age(monotonic_time now) const
{
    if (!m_provenAt)
        return std::nullopt;
    return now - *m_provenAt;
}

} // namespace sagesaddle
