#include "Fleet/pace_table.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

// Forecast time at the mean ratio that is added to each upstream's samples: about five prompts of 1,500
// tokens.
constexpr double priorMilliseconds = 400;
// Forecast time of the samples without which an upstream's factor is not told for the first time; a gateway
// keeps the factor of an earlier coordinator until then.
constexpr double minToldMilliseconds = 500;
// Change of a factor that is told to the gateways; smaller ones are within the scatter of the samples.
constexpr double toldChange = 0.08;
// Shortest time between two computations of the factors. In a large fleet reports arrive more often.
constexpr milliseconds factorUpdateInterval { 100 };
// The same for each upstream with samples. With 3,000 upstreams the factors are told every 1.5 s, since each
// change goes to every gateway.
constexpr std::chrono::microseconds factorUpdateIntervalPerUpstream { 500 };
// Time after the beginning of a slow start within which gateways that report a beginning mean the same one:
// they read the list at different times.
constexpr milliseconds sameStartTime { 3000 };
// Most forecast time in one gateway's report on one upstream; a gateway that reports more reports nonsense.
constexpr double maxReportedMilliseconds = 60000;

} // namespace

void pace_table::onSamples(
    const std::string& upstream, const std::string& service, const pace_sums& sums, monotonic_time now)
{
    if (!std::isfinite(sums.observedMilliseconds) || !std::isfinite(sums.forecastMilliseconds)
        || sums.forecastMilliseconds <= 0)
        return;
    pace_sums bounded;
    bounded.forecastMilliseconds = std::min(sums.forecastMilliseconds, maxReportedMilliseconds);
    bounded.observedMilliseconds = bounded.forecastMilliseconds
        * std::clamp(sums.observedMilliseconds / sums.forecastMilliseconds, minPaceFactor, maxPaceFactor);
    record& item = m_records[upstream];
    item.service = service;
    item.sums = item.sums.decayed(now - item.updatedAt);
    item.sums += bounded;
    item.updatedAt = now;
}

void pace_table::onStart(const std::string& upstream, const std::string& service, int slots,
    const start_report& report, monotonic_time now)
{
    record& item = m_records[upstream];
    item.service = service;
    if (report.isBeginning
        && (!item.start || (!item.start->limit(now) && now - item.start->begunAt() >= sameStartTime)))
        item.start.emplace(slots, now);
    if (!item.start)
        return;
    if (!report.outcomes.isEmpty())
        item.start->onOutcomes(report.outcomes, now);
    updateLimit(item, now);
}

void pace_table::updateLimit(record& item, monotonic_time now)
{
    const int limit = item.start ? item.start->limit(now).value_or(0) : 0;
    if (item.limit == limit)
        return;
    item.limit = limit;
    item.limitRevision = ++m_revision;
}

void pace_table::onProcessReplaced(const std::string& upstream)
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end())
        return;
    record& item = found->second;
    item.sums = {};
    if (item.revision > 0)
        item.revision = ++m_revision;
    item.factor = 1;
}

void pace_table::clear()
{
    m_records.clear();
    m_updatedAt = {};
}

void pace_table::update(monotonic_time now)
{
    const monotonic_duration interval = std::max<monotonic_duration>(
        factorUpdateInterval, factorUpdateIntervalPerUpstream * std::ssize(m_records));
    if (now - m_updatedAt < interval)
        return;
    m_updatedAt = now;
    struct service_sums {
        pace_sums all;
        double ratios { 0 };
        double count { 0 };
    };
    std::map<std::string, service_sums> services;
    for (auto& [upstream, item] : m_records) {
        item.sums = item.sums.decayed(now - item.updatedAt);
        item.updatedAt = now;
        services[item.service].all += item.sums;
        updateLimit(item, now);
    }
    // With few samples an upstream's ratio stays near that of the whole service.
    const auto ratioOf = [](const record& item, const service_sums& service) {
        const double common = (service.all.observedMilliseconds + 1) / (service.all.forecastMilliseconds + 1);
        return (item.sums.observedMilliseconds + priorMilliseconds * common)
            / (item.sums.forecastMilliseconds + priorMilliseconds);
    };
    for (const auto& [upstream, item] : m_records) {
        service_sums& service = services.at(item.service);
        service.ratios += ratioOf(item, service);
        service.count += 1;
    }
    for (auto& [upstream, item] : m_records) {
        const service_sums& service = services.at(item.service);
        const double factor = std::clamp(
            ratioOf(item, service) * service.count / service.ratios, minPaceFactor, maxPaceFactor);
        const bool isKnown = item.revision > 0 || item.sums.forecastMilliseconds >= minToldMilliseconds;
        if (!isKnown || std::abs(factor - item.factor) < toldChange * item.factor)
            continue;
        item.factor = factor;
        item.revision = ++m_revision;
    }
}

std::vector<upstream_factor> pace_table::changesSince(std::uint64_t revision) const
{
    std::vector<upstream_factor> changes;
    if (revision == m_revision)
        return changes;
    for (const auto& [upstream, item] : m_records) {
        if (item.revision > revision)
            changes.push_back({ upstream, item.factor });
    }
    return changes;
}

std::vector<upstream_start_limit> pace_table::limitChangesSince(std::uint64_t revision) const
{
    std::vector<upstream_start_limit> changes;
    if (revision == m_revision)
        return changes;
    for (const auto& [upstream, item] : m_records) {
        if (item.limitRevision > revision)
            changes.push_back({ upstream, item.limit });
    }
    return changes;
}

} // namespace sagesaddle
