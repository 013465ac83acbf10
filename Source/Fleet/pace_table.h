#pragma once

#include "Fleet/pace_sums.h"

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

/// \brief The speeds of all upstreams as the coordinator knows them from the gateways' samples.
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
    /// \brief Forgets the samples of an upstream that another process replaced.
    void onProcessReplaced(const std::string& upstream);
    /// \brief Forgets an upstream that left the list.
    void remove(const std::string& upstream) { m_records.erase(upstream); }
    /// \brief Forgets everything.
    void clear();

    /// \brief Computes the factors anew, at most once in an interval.
    void update(monotonic_time now);
    /// \return the factors that changed noticeably after a revision.
    std::vector<upstream_factor> changesSince(std::uint64_t revision) const;
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
    };

    std::map<std::string, record> m_records;
    std::uint64_t m_revision { 0 };
    monotonic_time m_updatedAt {};
};

} // namespace sagesaddle
