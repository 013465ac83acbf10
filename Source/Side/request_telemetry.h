#pragma once

#include "Base/clock.h"
#include "Base/verdict.h"

#include <cstdint>
#include <string>

namespace sagesaddle {

class metric_registry;
class span_exporter;
struct exchange_outcome;
struct request_job;

/// \brief Why a request is refused.
struct refusal_cause {
    /// Whether the request may have run.
    verdict ran { verdict::NotRun };
    /// Name of the reason, used in messages, metrics and logs.
    std::string reason;
    /// Explanation as plain text.
    std::string detail;
    /// Time after which a retry makes sense; 0 if unknown.
    milliseconds retryAfter { 0 };

    auto operator<=>(const refusal_cause&) const = default;
};

/// \brief Records how each request ended in the log, the metrics and the trace; thread-safe.
class request_telemetry {
public:
    /// \param upstream name of the upstream in the records
    /// \param metrics must outlive this object
    /// \param spans must outlive this object
    request_telemetry(std::string upstream, metric_registry& metrics, span_exporter& spans);

    /// Records that a request was refused before or after it was sent to the upstream.
    void recordRefusal(const request_job& job, const refusal_cause& cause);
    /// Records that the whole answer was passed on.
    void recordAnswer(const request_job& job, const exchange_outcome& outcome);

private:
    void recordSpan(const request_job& job, const std::string& reason, verdict ran, std::uint16_t status);

    std::string m_upstream;
    metric_registry& m_metrics;
    span_exporter& m_spans;
};

} // namespace sagesaddle
