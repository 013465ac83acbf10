#include "Limit/standstill_guard.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Time between two checks from which on the process counts as having stood still; checks are due every 100
// ms.
constexpr milliseconds standstillTime { 400 };
// Time after a standstill in which the process reads what changed: a new connection to the coordinator, a
// report and its answer.
constexpr milliseconds catchUpTime { 300 };

} // namespace

bool standstill_guard::isCatchingUp(monotonic_time now)
{
    if (m_checkedAt != monotonic_time {} && now - m_checkedAt > standstillTime)
        m_caughtUpAt = now + catchUpTime;
    m_checkedAt = std::max(m_checkedAt, now);
    return now < m_caughtUpAt;
}

} // namespace sagesaddle
