#pragma once

#include "Base/clock.h"

#include <string>

namespace sagesaddle {

/// Makes an idempotency key for a call whose caller gave none.
/// \return a UUID of version 7 (RFC 9562), which contains the time at which it was made
std::string makeIdempotencyKey(wall_time now);

} // namespace sagesaddle
