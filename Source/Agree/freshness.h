#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Whether a process may act upon its state, and how old that state is.
struct freshness {
    /// Whether the state may be acted upon; \see freshness_tracker.
    bool isFresh { false };
    /// Age of the newest confirmation of the state; the maximum where there is none.
    milliseconds age { 0 };
    /// Whether this process cannot reach the log.
    bool isLogUnreachable { true };

    auto operator<=>(const freshness&) const = default;
};

} // namespace sagesaddle
