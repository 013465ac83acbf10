#pragma once

#include "Base/clock.h"
#include "Fleet/fleet_config.h"

#include <map>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief Tokens granted from a team's bucket, and when to ask for the rest.
struct token_grant {
    double tokens { 0 };
    /// Time after which the tokens that were needed but not granted are expected; 0 where none are missing.
    milliseconds retryAfter { 0 };

    auto operator<=>(const token_grant&) const = default;
};

/// \brief The coordinator's token buckets for the teams' rate limits, one bucket for each limited team. No
/// I/O and no clock; not thread-safe.
///
/// All gateways draw on the same bucket, and tokens are debited before the grant is sent. A team that sends
/// many times its rate therefore stays within its limit, whichever gateways its requests reach.
class team_token_buckets {
public:
    /// Applies the teams of a configuration. New buckets start half full, because grants of an earlier
    /// coordinator may still be spent.
    void setTeams(const std::vector<team_config>& teams, monotonic_time now);

    /// \param fraction fraction of each team's rate that these buckets may grant, from 0 to 1; the rest is
    /// granted or spent elsewhere
    void setGrantableFraction(double fraction, monotonic_time now);

    /// Sets all buckets to 0 tokens, for a coordinator that must assume that another one granted them all.
    void emptyAll(monotonic_time now);

    /// Debits tokens for a gateway. A team without a limit is granted all that is asked for.
    /// \param needed tokens that requests wait for; granted in full or in part
    /// \param prefetch tokens wanted beyond that; granted only from the upper half of the bucket
    token_grant grant(const std::string& team, double needed, double prefetch, monotonic_time now);

    /// Puts granted tokens back that the gateway neither spent nor will spend.
    void returnTokens(const std::string& team, double tokens, monotonic_time now);

private:
    struct bucket {
        double ratePerSecond { 0 };
        double burst { 0 };
        double level { 0 };
        /// Tokens of requests that were refused and told when to retry, less what was refilled since.
        double retryBacklog { 0 };
        monotonic_time filledAt {};

        /// \param fraction fraction of the rate that may be granted
        void fill(monotonic_time now, double fraction);
    };

    double m_grantableFraction { 1 };
    std::map<std::string, bucket> m_buckets;
};

} // namespace sagesaddle
