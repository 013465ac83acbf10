#pragma once

#include "Base/clock.h"

#include <cstdint>

namespace sagesaddle::testing {

/// The moment at which the pure tests begin; any that is well after the clock's zero serves.
inline constexpr monotonic_time start { seconds(1000) };

/// \return the moment some milliseconds after the start.
constexpr monotonic_time at(std::int64_t ms)
{
    return start + milliseconds(ms);
}

} // namespace sagesaddle::testing
