#pragma once

#include "Base/clock.h"
#include "Limit/rate_limit.h"

#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Tokens granted from a bucket, and when to ask for the rest.
struct token_grant {
    double tokens { 0 };
    /// Time after which the tokens that were needed but not granted are expected; 0 where none are missing.
    milliseconds retryAfter { 0 };

    auto operator<=>(const token_grant&) const = default;
};

/// \brief The coordinator's token buckets for rate limits, one bucket for each limited team or upstream. No
/// I/O and no clock; not thread-safe.
///
/// All gateways draw on the same bucket, and tokens are debited before the grant is sent. What a team sends,
/// or an upstream receives, therefore stays within the limit, whichever gateways the requests reach.
class token_buckets {
public:
    /// Applies the limits. Known buckets keep their level, as far as the burst allows; the others are
    /// dropped.
    void setLimits(const std::vector<rate_limit>& limits, monotonic_time now);

    /// \param fraction fraction of each rate that these buckets may grant, from 0 to 1; the rest is granted
    /// or spent elsewhere
    void setGrantableFraction(double fraction, monotonic_time now);

    /// Takes all tokens from the buckets, for a coordinator that must assume that another one granted them.
    void emptyAll(monotonic_time now);

    /// Debits tokens for a gateway. Without a limit all that is asked for is granted.
    /// \param needed tokens that requests wait for; granted in full or in part
    /// \param prefetch tokens wanted beyond that; granted only from the upper half of the bucket
    token_grant grant(const std::string& name, double needed, double prefetch, monotonic_time now);

    /// Debits tokens if the bucket holds them; true without a limit. Unlike a grant that is refused, a
    /// failure does not delay the retry times of others, so that it may be tried again and again.
    bool trySpend(const std::string& name, double tokens, monotonic_time now);

    /// Puts granted tokens back that the gateway neither spent nor will spend.
    void returnTokens(const std::string& name, double tokens, monotonic_time now);

    /// Adds tokens to a bucket, or takes them from it; its level may fall below 0.
    /// \param lowestLevel level below which it does not fall
    void adjustLevel(const std::string& name, double tokens, double lowestLevel, monotonic_time now);

private:
    struct bucket {
        rate_limit limit;
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
