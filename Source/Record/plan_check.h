#pragma once

#include "Record/fleet_state.h"
#include "Record/log_record.h"

#include <string>

namespace sagesaddle {

/// \return why a planner's record does not fit the state, or an empty text where it does: its fence must be
/// that of the current lease, what it names must exist, and all copies on an upstream must fit its memory.
std::string findConflict(const fleet_state& state, const plan_record& plan);

/// Takes back the planned copies that the declared objects no longer allow: their model or engine is gone, or
/// the declared copies leave them no memory.
void prunePlan(fleet_state& state);

} // namespace sagesaddle
