#pragma once

#include "Record/fleet_state.h"
#include "Record/log_record.h"

#include <string>

namespace sagesaddle {

/// \brief Checks the declared objects as they would be after a change. Looks only at those that the change
/// may have made invalid, since the state before it is valid. Does not check the base revision.
/// \return why the change cannot be accepted, with the objects concerned; empty if it can
std::string findConflict(const fleet_state& state, const change_record& change);

} // namespace sagesaddle
