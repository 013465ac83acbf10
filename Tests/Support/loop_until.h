#pragma once

#include "Loop/timer.h"

namespace sagesaddle {

/// \brief Runs the event loop until a condition holds.
/// \return whether the condition held before the timeout of 20 s
template <typename Condition> bool loopUntil(event_loop& loop, const Condition& condition)
{
    // Far longer than any wait in the tests, so that a busy machine does not fail them.
    constexpr seconds timeout { 20 };
    constexpr milliseconds checkInterval { 5 };
    const monotonic_time end = monotonicNow() + timeout;
    // Ends each wait of the loop, so that the condition is checked also where no event comes.
    timer checkTimer(loop, [] {});
    while (!condition()) {
        if (monotonicNow() >= end)
            return false;
        checkTimer.start(checkInterval);
        loop.runOnce();
    }
    return true;
}

/// \brief Runs the event loop for a time, for checks that something does not happen.
inline void loopFor(event_loop& loop, milliseconds duration)
{
    const monotonic_time end = monotonicNow() + duration;
    loopUntil(loop, [&] { return monotonicNow() >= end; });
}

} // namespace sagesaddle
