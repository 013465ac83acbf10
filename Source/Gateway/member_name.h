#pragma once

#include "Base/address.h"

#include <string>

namespace sagesaddle {

/// \return what the names in the lease of all starts of the gateway at that address begin with.
std::string memberNamePrefix(const address& peers);

/// \return a name in the lease for this start of the gateway: its address for other gateways, and what tells
/// two starts apart.
std::string makeMemberName(const address& peers);

/// \return the address for other gateways in a name of the lease.
/// \throws std::runtime_error where the name holds none
address addressOfMember(const std::string& member);

} // namespace sagesaddle
