#pragma once

#include "Watch/decision_lines.h"
#include "Watch/metric_registry.h"

namespace sagesaddle {

/// \brief Log and metrics that the relay writes to.
struct relay_telemetry {
    decision_lines& lines;
    metric_registry& metrics;
};

} // namespace sagesaddle
