#pragma once

#include "Base/address.h"

namespace sagesaddle::testing {

/// \return a loopback address whose port is free, and is handed out to no other test while this process
/// lasts. \throws std::runtime_error where none is left
address freeAddress();

} // namespace sagesaddle::testing
