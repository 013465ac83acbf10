#pragma once

#include "measured_fleet.h"
#include "run_summary.h"
#include "workload.h"

#include <vector>

namespace sagesaddle::measure {

/// Sends the requests of a workload to a fleet, each at its time, while fault_injector injects its faults.
/// \return the outcome of each request, in the order of the workload
std::vector<request_outcome> runWorkload(const workload& load, measured_fleet& fleet);

} // namespace sagesaddle::measure
