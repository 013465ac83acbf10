#pragma once

#include "Fleet/upstream_limit.h"
#include "Limit/cold_limits.h"
#include "Limit/token_buckets.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief The request limits of upstreams as the coordinator knows them, and the buckets from which it grants
/// requests under them: the limits that upstreams state, and those of cold upstreams. Each has a bucket of
/// its own; where an upstream has both, a request is debited from both, so that the lower limit applies. No
/// I/O and no clock; not thread-safe.
class upstream_limits {
public:
    /// Applies what a gateway knows of a limit.
    /// \param knownFor time since that gateway first knew it
    /// \param isNews whether an answer of the upstream said so since the gateway's last report; other
    /// knowledge may be outdated and is used only where nothing is known here
    void onReported(const upstream_limit& limit, milliseconds knownFor, bool isNews, monotonic_time now);
    /// Forgets the limit of an upstream that was replaced by another process.
    void onProcessReplaced(const std::string& upstream, monotonic_time now);
    /// Forgets all limits.
    void clear();

    /// Replaces the limits of cold upstreams. The bucket of a limit that was in force before keeps its level.
    void setColdLimits(const std::vector<cold_limit>& limits, monotonic_time now);
    /// Applies what a gateway knows of a cold upstream, where nothing is known here yet.
    /// \param remaining time for which the upstream stays cold
    void onColdReported(
        const std::string& upstream, double requestsPerSecond, milliseconds remaining, monotonic_time now);

    /// \return the limits that changed after a revision, ended ones included.
    std::vector<upstream_limit> changesSince(std::uint64_t revision) const;
    /// \return a number that grows with each change.
    std::uint64_t revision() const { return m_revision; }

    /// Debits one request of the coordinator's own.
    /// \return whether it may be sent
    bool trySpend(const std::string& upstream, monotonic_time now);

    /// Debits requests for a gateway, as token_buckets::grant() does. Without a limit all that is asked for
    /// is granted.
    token_grant grant(const std::string& upstream, double needed, double prefetch, monotonic_time now);
    /// Puts credit back that a gateway did not spend.
    void returnCredit(const std::string& upstream, double requests, monotonic_time now);
    /// See token_buckets.
    void emptyAll(monotonic_time now);
    /// \param fraction fraction of each stated limit that may be granted here, from 0 to 1
    /// \param coldFraction the same for the limits of cold upstreams
    void setGrantableFraction(double fraction, double coldFraction, monotonic_time now);

private:
    struct record {
        std::optional<double> requestsPerSecond;
        std::uint64_t revision { 0 };
    };

    void set(const upstream_limit& limit, milliseconds knownFor, monotonic_time now);
    bool isCold(const std::string& upstream, monotonic_time now) const;
    /// Creates the buckets of the limits of cold upstreams in force, and drops the others.
    void updateColdBuckets(monotonic_time now);

    std::map<std::string, record> m_records;
    std::uint64_t m_revision { 0 };
    token_buckets m_buckets;
    /// Limits of cold upstreams from the list, and from gateways' requests, by the upstream's id.
    std::map<std::string, cold_limit> m_listedCold;
    std::map<std::string, cold_limit> m_reportedCold;
    token_buckets m_coldBuckets;
};

} // namespace sagesaddle
