#pragma once

#include "Loop/timer.h"

namespace sagesaddle {

/// Turns the loop until the condition holds.
/// \return whether it came to hold within a generous time
template <typename Condition> bool loopUntil(event_loop& loop, const Condition& condition)
{
    // Far beyond any wait in the tests, so that a busy machine does not fail them.
    constexpr seconds patience { 20 };
    constexpr milliseconds look { 5 };
    const monotonic_time end = monotonicNow() + patience;
    timer ticking(loop, [] {});
    while (!condition()) {
        if (monotonicNow() >= end)
            return false;
        ticking.start(look);
        loop.runOnce();
    }
    return true;
}

/// Turns the loop for a time, for checks that something does not happen.
inline void loopFor(event_loop& loop, milliseconds span)
{
    const monotonic_time end = monotonicNow() + span;
    loopUntil(loop, [&] { return monotonicNow() >= end; });
}

} // namespace sagesaddle
