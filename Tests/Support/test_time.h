#pragma once

#include "Base/clock.h"

#include <cstdint>

namespace sagesaddle::testing {

/// Start time of the tests that pass the time to the code under test. Any value works that is later than the
/// clock's zero by more than the longest time that a test goes back.
inline constexpr monotonic_time start { seconds(1000) };

/// \return the time `ms` milliseconds after `start`.
constexpr monotonic_time at(std::int64_t ms)
{
    return start + milliseconds(ms);
}

} // namespace sagesaddle::testing
