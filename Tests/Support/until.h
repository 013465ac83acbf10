#pragma once

#include "Base/clock.h"

#include <functional>

namespace sagesaddle::testing {

/// Far beyond what any condition takes on a busy machine.
inline constexpr milliseconds generousBound { 30000 };

/// Waits for a condition.
/// \return whether it held before the bound
bool until(const std::function<bool()>& condition, milliseconds bound = generousBound);

} // namespace sagesaddle::testing
