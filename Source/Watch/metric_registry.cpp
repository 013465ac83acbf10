#include "Watch/metric_registry.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace sagesaddle {

namespace {

const prometheus::Histogram::BucketBoundaries bucketBoundsSeconds { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025,
    0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60 };

} // namespace

metric_registry::metric_registry()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

void metric_registry::add(
    const std::string& name, const std::string& help, const metric_labels& labels, double amount)
{
    prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add(labels).Increment(amount);
}

void metric_registry::set(
    const std::string& name, const std::string& help, double value, const metric_labels& labels)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add(labels).Set(value);
}

void metric_registry::observeSeconds(
    const std::string& name, const std::string& help, double value, const metric_labels& labels)
{
    prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(*m_registry)
        .Add(labels, bucketBoundsSeconds)
        .Observe(value);
}

std::string metric_registry::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace sagesaddle
