#pragma once

#include "Quarantine/crash_evidence.h"
#include "Relay/relay_telemetry.h"

namespace sagesaddle {

/// \brief Logs the decision to quarantine a prompt part, with its evidence.
/// \param by who decided: `coordinator`, or `gateway` where nobody coordinates
void logQuarantine(
    const quarantine_decision& decision, const char* by, decision_logger& lines, monotonic_time now);

/// \brief Logs and counts that this gateway refuses the requests with a prompt part from now on.
void logQuarantineInForce(const quarantined_part& part, relay_telemetry& telemetry, monotonic_time now);

} // namespace sagesaddle
