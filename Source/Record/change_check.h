#pragma once

#include "Record/fleet_state.h"
#include "Record/log_record.h"

#include <string>

namespace sagesaddle {

/// Checks what the fleet would declare after a change; looks only at what the change may have broken.
/// \return why the change cannot be accepted, with the objects concerned; empty where it can
std::string findConflict(const fleet_state& state, const change_record& change);

} // namespace sagesaddle
