#pragma once

#include "Base/address.h"

#include <string>

namespace sagesaddle {

/// \return the prefix that the names in the lease of all starts of the gateway at that address share.
std::string memberNamePrefix(const address& peers);

/// \return a name in the lease that is unique to this start of the gateway; it begins with the address at
/// which other gateways reach it.
std::string makeMemberName(const address& peers);

/// \return the address that a name in the lease begins with.
/// \throws std::runtime_error where the name holds no address
address addressOfMember(const std::string& member);

} // namespace sagesaddle
