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
    verdict ran { verdict::NotRun };
    std::string reason;
    std::string detail;
    milliseconds retryAfter { 0 };

    auto operator<=>(const refusal_cause&) const = default;
};

/// \brief Writes the end of each request to the log, the metrics and its trace; safe from any thread.
class request_telemetry {
public:
    request_telemetry(std::string upstream, metric_registry& metrics, span_exporter& spans);

    void recordRefusal(const request_job& job, const refusal_cause& cause);
    void recordAnswer(const request_job& job, const exchange_outcome& outcome);

private:
    void recordSpan(const request_job& job, const std::string& reason, verdict ran, std::uint16_t status);

    std::string m_upstream;
    metric_registry& m_metrics;
    span_exporter& m_spans;
};

} // namespace sagesaddle
