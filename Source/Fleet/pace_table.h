#pragma once

#include "Fleet/pace_sums.h"
#include "Fleet/slow_start.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief The time factor of an upstream.
struct upstream_factor {
    std::string upstream;
    /// Time for a piece of work relative to the mean of the service's upstreams.
    double factor { 1 };

    auto operator<=>(const upstream_factor&) const = default;
};

/// \brief The concurrency limit of an upstream in slow start.
struct upstream_start_limit {
    std::string upstream;
    /// 0 after the end of the slow start.
    int limit { 0 };

    auto operator<=>(const upstream_start_limit&) const = default;
};

/// \brief What a gateway says of an upstream's slow start.
struct start_report {
    /// Whether the gateway saw the upstream start or recover since its last report.
    bool isBeginning { false };
    start_outcomes outcomes;

    auto operator<=>(const start_report&) const = default;
};

/// \brief The speeds and slow starts of all upstreams as the coordinator knows them from the gateways'
/// samples.
///
/// The factors of a service's upstreams are relative to their mean, so that a service that becomes slow as a
/// whole changes no choice. Few samples move a factor only a little from 1.
///
/// Performs no I/O and reads no clock; not thread-safe.
class pace_table {
public:
    /// \brief Adds what one gateway observed since its last report. Invalid sums are ignored, extreme ones
    /// bounded.
    void onSamples(
        const std::string& upstream, const std::string& service, const pace_sums& sums, monotonic_time now);
    /// \brief Begins or continues the slow start of an upstream. Several gateways report the same beginning.
    /// \param slots requests that the upstream runs at once
    void onStart(const std::string& upstream, const std::string& service, int slots,
        const start_report& report, monotonic_time now);
    /// \brief Forgets the samples of an upstream that another process replaced. A slow start is kept, since
    /// gateways may have reported that of the new process before.
    void onProcessReplaced(const std::string& upstream);
    /// \brief Forgets an upstream that left the list.
    void remove(const std::string& upstream) { m_records.erase(upstream); }
    /// \brief Forgets everything.
    void clear();

    /// \brief Computes the factors anew, at most once in an interval.
    void update(monotonic_time now);
    /// \return the factors that changed noticeably after a revision.
    std::vector<upstream_factor> changesSince(std::uint64_t revision) const;
    /// \return the limits of slow starts that changed after a revision, ended ones included.
    std::vector<upstream_start_limit> limitChangesSince(std::uint64_t revision) const;
    /// \return a number that grows with each change.
    std::uint64_t revision() const { return m_revision; }

private:
    struct record {
        std::string service;
        pace_sums sums;
        monotonic_time updatedAt {};
        /// Factor as last told to the gateways.
        double factor { 1 };
        /// Revision of its last change; 0 if the factor was never told.
        std::uint64_t revision { 0 };
        /// The latest slow start, kept after its end so that late reports of its beginning are known as such.
        std::optional<slow_start> start;
        /// Limit as last told to the gateways; 0 after the end.
        int limit { 0 };
        /// Revision of its last change; 0 if it was never told.
        std::uint64_t limitRevision { 0 };
    };

    void updateLimit(record& item, monotonic_time now);

    std::map<std::string, record> m_records;
    std::uint64_t m_revision { 0 };
    monotonic_time m_updatedAt {};
};

} // namespace sagesaddle
