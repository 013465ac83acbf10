#pragma once

#include "Record/fleet_state.h"
#include "Record/log_record.h"

#include <string>

namespace sagesaddle {

/// \brief Checks a plan record: its fencing token must be that of the current planner lease, the models and
/// engines that it names must exist, and on each upstream that it adds copies to, the declared and planned
/// copies must fit the memory together.
/// \return why the record cannot be accepted; empty if it can
std::string findConflict(const fleet_state& state, const plan_record& plan);

/// \brief Removes the planned copies that the declared objects no longer allow, because their model or engine
/// is gone or the declared copies leave too little memory. Where memory is short, the first copies by model
/// are removed until the others fit.
void prunePlan(fleet_state& state);

} // namespace sagesaddle
