#pragma once

#include "Base/address.h"

namespace sagesaddle::testing {

/// \return a loopback address with a free port. While this process lasts, no other call in any test process
///         gets the same port.
/// \throws std::runtime_error where no port is left
address freeAddress();

} // namespace sagesaddle::testing
