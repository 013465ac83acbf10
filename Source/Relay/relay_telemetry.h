#pragma once

#include "Watch/decision_lines.h"
#include "Watch/metric_registry.h"

namespace sagesaddle {

/// \brief Where the relay's decisions are logged and counted.
struct relay_telemetry {
    decision_lines& lines;
    metric_registry& metrics;
};

} // namespace sagesaddle
