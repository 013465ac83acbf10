#pragma once

#include <chrono>

namespace sagesaddle {

/// A point on this process's monotonic clock; decision code receives it, never reads it.
using monotonic_time = std::chrono::steady_clock::time_point;

/// A length of monotonic time.
using monotonic_duration = std::chrono::steady_clock::duration;

/// A point on the wall clock; used only for what leaves the process (logs, traces, claims).
using wall_time = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// \return seconds from one time to another, negative where the other is earlier.
inline double secondsBetween(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// \return the time on this process's monotonic clock; for the shells around the decision code.
inline monotonic_time monotonicNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace sagesaddle
