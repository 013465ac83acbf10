#pragma once

#include <map>
#include <memory>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace sagesaddle {

/// Labels of a metric: values by name.
using metric_labels = std::map<std::string, std::string>;

/// \brief The metrics of the process, exported in the Prometheus text format. Thread-safe.
///
/// A metric is registered when it is first used. Label values must come from a bounded set (teams, reasons,
/// upstreams of the records), never from the text of a request, since each value adds a time series.
class metric_registry {
public:
    metric_registry();

    /// Increases a counter.
    /// \param help description of the metric, the same in each call
    /// \param amount at least 0
    void add(const std::string& name, const std::string& help, const metric_labels& labels = {},
        double amount = 1);

    /// Sets the value of a gauge.
    void set(
        const std::string& name, const std::string& help, double value, const metric_labels& labels = {});

    /// Adds a duration to a histogram with buckets from 0.5 ms to 60 s.
    /// \param value the duration in seconds
    void observeSeconds(
        const std::string& name, const std::string& help, double value, const metric_labels& labels = {});

    /// \return all metrics in the Prometheus text format, for `/metrics`.
    std::string serialize() const;

    /// Content type of the text that serialize() returns.
    static constexpr const char* contentType = "text/plain; version=0.0.4; charset=utf-8";

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace sagesaddle
