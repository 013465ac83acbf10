#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief How sure a process is that it holds every accepted record.
struct freshness {
    /// Whether the state may be acted upon.
    bool fresh { false };
    /// Age of the evidence.
    milliseconds age { 0 };
    /// Whether the log is away as seen from here.
    bool isLogUnreachable { true };

    auto operator<=>(const freshness&) const = default;
};

} // namespace sagesaddle
