#pragma once

#include "Base/address.h"

namespace sagesaddle::testing {

/// \return a loopback address whose port was free a moment ago and is not handed out again by this process.
address freeAddress();

} // namespace sagesaddle::testing
