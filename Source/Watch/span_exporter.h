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

/// \brief Which end of a hop a span tells of.
enum class span_kind {
    Server,
    Client,
};

/// \brief One hop of a request, finished.
struct span {
    trace_context context;
    /// Empty for the first span of a trace.
    std::string parentSpanId;
    std::string name;
    span_kind kind { span_kind::Server };
    wall_time start;
    wall_time end;
    bool failed { false };
    std::vector<log_field> attributes;
};

/// \return the spans as an OTLP export request in its JSON form.
std::string formatOtlp(
    const std::string& service, const std::string& instance, const std::vector<span>& spans);

/// \brief Sends spans to a collector in batches, from a thread of its own; never blocks a request.
class span_exporter {
public:
    struct options {
        /// The collector; without one nothing is kept or sent.
        std::optional<address> collector;
        std::string service;
        std::string instance;
        /// Spans that wait at most; more are dropped and counted.
        std::size_t maxWaiting { 4096 };
        std::size_t batch { 256 };
        milliseconds period { 500 };
    };

    explicit span_exporter(options settings);

    /// Sends what still waits, once, and stops.
    ~span_exporter();

    span_exporter(const span_exporter&) = delete;
    span_exporter& operator=(const span_exporter&) = delete;

    /// Takes a span of a sampled trace; safe from any thread.
    void record(span value);

    /// \return spans that were lost because too many waited or the collector did not take them.
    std::uint64_t dropped() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
