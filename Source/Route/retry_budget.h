#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Bounds retries to a share of the requests, so that a fault does not multiply load; pure.
class retry_budget {
public:
    /// \param retriesPerRequest retries earned by each first try
    /// \param reserve retries that may be saved up
    retry_budget(double retriesPerRequest, double reserve);

    void onRequest();

    /// \return whether a retry may go ahead; it is then counted.
    bool tryRetry();

private:
    double m_retriesPerRequest;
    double m_reserve;
    double m_saved;
};

} // namespace sagesaddle
