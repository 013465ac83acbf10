#pragma once

#include "Base/clock.h"
#include "Fleet/fleet_config.h"

#include <map>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief Tokens granted, and when more can be had.
struct token_grant {
    double tokens { 0 };
    milliseconds retryAfter { 0 };

    auto operator<=>(const token_grant&) const = default;
};

/// \brief The coordinator's side of the teams' limits: one token bucket a team; pure.
///
/// Answers one team that sends many times its rate: whatever entries its requests reach, they draw on one
/// bucket, debited before the grant leaves.
class team_token_buckets {
public:
    /// Takes in the teams of a configuration; new buckets start half full, since an earlier
    /// coordinator's grants may still be spent.
    void setTeams(const std::vector<team_config>& teams, monotonic_time now);

    /// \param part of each team's rate that this bank may grant, from 0 to 1; the rest is granted elsewhere
    void setGrantableFraction(double part, monotonic_time now);

    /// Empties all buckets: what was granted elsewhere may have been all.
    void emptyAll(monotonic_time now);

    /// Debits tokens for an entry.
    /// \param needed what requests wait for; granted whole or in part
    /// \param ahead what is wanted beyond that; granted only while the bucket is at least half full
    token_grant grant(const std::string& team, double needed, double ahead, monotonic_time now);

    /// Takes back granted credit that an entry did not spend and will not spend.
    void returnTokens(const std::string& team, double tokens, monotonic_time now);

private:
    struct bucket {
        double ratePerSecond { 0 };
        double burst { 0 };
        double level { 0 };
        /// Tokens of refused requests that were told to come back, in the order of their refusal.
        double returning { 0 };
        monotonic_time filledAt {};

        void fill(monotonic_time now, double share);
    };

    double m_share { 1 };
    std::map<std::string, bucket> m_buckets;
};

} // namespace sagesaddle
