#include "Relay/drain_schedule.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Shortest time from becoming not ready to the exit, in which the platform routes callers elsewhere.
constexpr milliseconds minDrainTime { 2500 };
// Time by which the process exits before the platform kills it.
constexpr milliseconds exitReserve { 300 };
// Factor of a request's usual duration that must be left.
constexpr int durationFactor = 2;

} // namespace

drain_schedule::drain_schedule(monotonic_time begin, milliseconds grace)
    : m_admissionEnd(begin + std::min(minDrainTime, grace / 2))
    , m_exitAt(begin + grace - exitReserve)
{
}

bool drain_schedule::admits(monotonic_time now, monotonic_duration usualDuration) const
{
    return now < m_admissionEnd && now + usualDuration * durationFactor <= m_exitAt;
}

} // namespace sagesaddle
