#include "Relay/quarantine_log.h"

namespace sagesaddle {

namespace {

double secondsLeft(const quarantined_part& part, monotonic_time now)
{
    return secondsBetween(now, part.until);
}

} // namespace

void logQuarantine(
    const quarantine_decision& decision, const char* by, decision_logger& lines, monotonic_time now)
{
    lines.write(log_level::Warning, "quarantine_decided",
        { { "part", formatPartId(decision.part.part) }, { "crashes", decision.crashes },
            { "all_crashes", decision.allCrashes }, { "answers", decision.answers },
            { "seconds", secondsLeft(decision.part, now) }, { "by", by } },
        now);
}

void logQuarantineInForce(const quarantined_part& part, relay_telemetry& telemetry, monotonic_time now)
{
    telemetry.metrics.add(
        "sagesaddle_quarantines", "Prompt parts whose requests this gateway began to refuse");
    telemetry.lines.write(log_level::Warning, "quarantine_in_force",
        { { "part", formatPartId(part.part) }, { "seconds", secondsLeft(part, now) } }, now);
}

} // namespace sagesaddle
