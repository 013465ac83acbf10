#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Limits retries to a share of the requests, so that a fault does not multiply the load.
///
/// Performs no I/O and reads no clock; not thread-safe.
class retry_budget {
public:
    /// \param retriesPerRequest retries that each first attempt adds to the budget, usually a fraction
    /// \param reserve maximum number of retries in the budget, which starts with this many
    retry_budget(double retriesPerRequest, double reserve);

    /// \brief Adds the share of one first attempt to the budget.
    void onRequest();

    /// \brief Takes one retry from the budget.
    /// \return whether the budget allowed the retry
    bool tryRetry();

private:
    double m_retriesPerRequest;
    double m_reserve;
    double m_available;
};

} // namespace sagesaddle
