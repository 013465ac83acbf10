#pragma once

#include "Base/clock.h"

#include <functional>

namespace sagesaddle::testing {

/// Far longer than any condition of the tests takes on a busy machine.
inline constexpr milliseconds generousBound { 30000 };

/// \brief Blocks until a condition holds; checks it every 10 ms.
/// \return whether it held before the timeout
bool until(const std::function<bool()>& condition, milliseconds timeout = generousBound);

} // namespace sagesaddle::testing
