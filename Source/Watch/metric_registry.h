#pragma once

#include <map>
#include <memory>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace sagesaddle {

/// Labels of a metric: name to value.
using metric_labels = std::map<std::string, std::string>;

/// \brief The process's metrics, handed out in the Prometheus text form; safe from any thread.
///
/// A metric is made when it is first used. Labels take values of a bounded set only (teams, reasons,
/// upstreams of the records), never what a caller wrote.
class metric_registry {
public:
    metric_registry();

    /// Adds to a counter.
    void add(const std::string& name, const std::string& help, const metric_labels& labels = {},
        double amount = 1);

    /// Sets a gauge.
    void set(
        const std::string& name, const std::string& help, double value, const metric_labels& labels = {});

    /// Adds a length of time to a histogram of seconds, with buckets from 0.5 ms to 60 s.
    void observeSeconds(
        const std::string& name, const std::string& help, double value, const metric_labels& labels = {});

    /// \return all metrics in the text form, for `/metrics`.
    std::string serialize() const;

    /// Content type of what serialize() returns.
    static constexpr const char* contentType = "text/plain; version=0.0.4; charset=utf-8";

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace sagesaddle
