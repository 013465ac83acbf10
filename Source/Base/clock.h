#pragma once

#include <chrono>

namespace sagesaddle {

/// A point in time on this process's monotonic clock. Decision classes receive the time as a parameter and
/// never read the clock.
using monotonic_time = std::chrono::steady_clock::time_point;

/// A duration on the monotonic clock.
using monotonic_duration = std::chrono::steady_clock::duration;

/// A point in time on the wall clock, used only for times that leave the process (logs, traces, claims).
using wall_time = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// \return the seconds from `from` to `to`; negative if `to` is earlier.
inline double secondsBetween(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// \return the current time on this process's monotonic clock. For the I/O code that calls the decision
/// classes, not for these classes themselves.
inline monotonic_time monotonicNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace sagesaddle
