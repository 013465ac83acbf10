#include "Side/request_telemetry.h"

#include "Side/request_job.h"
#include "Side/upstream_exchange.h"
#include "Watch/log.h"
#include "Watch/metric_registry.h"
#include "Watch/span_exporter.h"

#include <utility>

namespace sagesaddle {

request_telemetry::request_telemetry(std::string upstream, metric_registry& metrics, span_exporter& spans)
    : m_upstream(std::move(upstream))
    , m_metrics(metrics)
    , m_spans(spans)
{
}

void request_telemetry::recordRefusal(const request_job& job, const refusal_cause& cause)
{
    m_metrics.add("sagesaddle_side_refusals_total", "Requests refused, by reason and verdict.",
        { { "reason", cause.reason }, { "verdict", std::string(nameOf(cause.ran)) } });
    writeLog(log_level::Info, "request refused",
        { { "trace_id", job.span.traceId }, { "team", job.request.team }, { "model", job.request.model },
            { "reason", cause.reason }, { "verdict", nameOf(cause.ran) } });
    recordSpan(job, cause.reason, cause.ran, 0);
}

void request_telemetry::recordAnswer(const request_job& job, const exchange_outcome& outcome)
{
    const std::chrono::duration<double> took = monotonicNow() - job.arrived;
    m_metrics.add("sagesaddle_side_answers_total", "Whole answers passed on.");
    m_metrics.observeSeconds(
        "sagesaddle_side_answer_seconds", "Time from a request's arrival to its answer's end.", took.count());
    recordSpan(job, "", verdict::Answered, outcome.status);
}

void request_telemetry::recordSpan(
    const request_job& job, const std::string& reason, verdict ran, std::uint16_t status)
{
    if (!job.span.sampled)
        return;
    span value;
    value.context = job.span;
    value.parentSpanId = job.parent.spanId;
    value.name = "side request";
    value.start = job.arrivedWallTime;
    value.end = std::chrono::system_clock::now();
    value.failed = ran != verdict::Answered;
    value.attributes
        = { { "upstream", m_upstream }, { "team", job.request.team }, { "model", job.request.model },
              { "verdict", nameOf(ran) }, { "status", status }, { "reason", reason } };
    m_spans.record(std::move(value));
}

} // namespace sagesaddle
