#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Watch/log.h"
#include "Watch/trace_context.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Whether a span describes a request as its server or as its client.
enum class span_kind {
    Server,
    Client,
};

/// \brief A finished span: one hop of a request.
struct span {
    trace_context context;
    /// Empty for the root span of a trace.
    std::string parentSpanId;
    std::string name;
    span_kind kind { span_kind::Server };
    wall_time start;
    wall_time end;
    bool failed { false };
    std::vector<log_field> attributes;
};

/// \return the spans as an OTLP export request in JSON.
/// \param service `service.name` of the resource
/// \param instance `service.instance.id` of the resource
std::string formatOtlp(
    const std::string& service, const std::string& instance, const std::vector<span>& spans);

/// \brief Sends spans to an OTLP collector in batches, from a thread of its own. Recording a span never waits
/// for the collector.
class span_exporter {
public:
    struct options {
        /// Address of the collector; without one no span is queued or sent.
        std::optional<address> collector;
        std::string service;
        std::string instance;
        /// Most spans that wait to be sent; further ones are dropped and counted.
        std::size_t maxWaiting { 4096 };
        /// Most spans in one export request; so many waiting spans are sent at once.
        std::size_t batch { 256 };
        /// Longest time between two export requests while spans wait.
        milliseconds period { 500 };
    };

    explicit span_exporter(options settings);

    /// Stops the thread after one last export request; the spans that do not fit into it are dropped.
    ~span_exporter();

    span_exporter(const span_exporter&) = delete;
    span_exporter& operator=(const span_exporter&) = delete;

    /// Queues a span for sending; ignores it if its trace is not sampled. Thread-safe.
    void record(span value);

    /// \return spans dropped so far, because too many waited or the collector did not accept them.
    std::uint64_t dropped() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
