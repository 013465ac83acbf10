#include "Route/retry_budget.h"

#include <algorithm>

namespace sagesaddle {

retry_budget::retry_budget(double retriesPerRequest, double reserve)
    : m_retriesPerRequest(retriesPerRequest)
    , m_reserve(reserve)
    , m_saved(reserve)
{
}

void retry_budget::onRequest()
{
    m_saved = std::min(m_reserve, m_saved + m_retriesPerRequest);
}

bool retry_budget::tryRetry()
{
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

} // namespace sagesaddle
