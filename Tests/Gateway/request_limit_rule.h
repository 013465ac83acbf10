#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief The platform's rule for an upstream that states a request limit: from `grace` after it first did,
/// it gets in any window at most `factor` times what the limit allows, and `slack` requests, from the
/// gateways that had passed on such an answer `toldBefore` earlier.
struct request_limit_rule {
    static constexpr milliseconds grace { 3000 };
    static constexpr seconds window { 4 };
    static constexpr double factor = 1.5;
    static constexpr double slack = 5;
    static constexpr milliseconds toldBefore { 500 };

    static constexpr double allowedInWindow(double requestsPerSecond)
    {
        return factor * requestsPerSecond * static_cast<double>(window.count()) + slack;
    }
};

/// \brief The platform's rule for a cold upstream: while it is cold, it gets in any window at most `factor`
/// times what the limit allows, and `slack` requests, from all gateways.
struct cold_limit_rule {
    static constexpr seconds window { 1 };
    static constexpr double factor = 1.5;
    static constexpr double slack = 5;
    /// Time within which all gateways know that an upstream in use has turned cold, also where the
    /// coordinator is lost before it tells them.
    static constexpr milliseconds known { 1000 };

    static constexpr double allowedInWindow(double requestsPerSecond)
    {
        return factor * requestsPerSecond * static_cast<double>(window.count()) + slack;
    }
};

} // namespace sagesaddle
