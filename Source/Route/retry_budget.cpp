#include "Route/retry_budget.h"

#include <algorithm>

namespace sagesaddle {

retry_budget::retry_budget(double retriesPerRequest, double reserve)
    : m_retriesPerRequest(retriesPerRequest)
    , m_reserve(reserve)
    , m_available(reserve)
{
}

void retry_budget::onRequest()
{
    m_available = std::min(m_reserve, m_available + m_retriesPerRequest);
}

bool retry_budget::tryRetry()
{
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace sagesaddle
