#pragma once

#include "Watch/decision_logger.h"
#include "Watch/metric_registry.h"

namespace sagesaddle {

/// \brief Log and metrics that the relay writes to.
struct relay_telemetry {
    decision_logger& lines;
    metric_registry& metrics;
};

} // namespace sagesaddle
