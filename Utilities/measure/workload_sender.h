#pragma once

#include "measured_fleet.h"
#include "run_summary.h"
#include "workload.h"

#include <vector>

namespace sagesaddle::measure {

/// Sends a trace to a fleet at its times while faults strike.
/// \return the outcome of each request, in the order of the trace
std::vector<request_outcome> runWorkload(const trace& given, measured_fleet& fleet);

} // namespace sagesaddle::measure
