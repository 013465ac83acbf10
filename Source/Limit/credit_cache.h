#pragma once

#include "Base/clock.h"
#include "Limit/rate_limit.h"

#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// Fraction of a rate limit that all gateways together may spend while none of them reaches a coordinator. A
/// coordinator that does not hear from some gateways leaves their part of this fraction to them.
inline constexpr double fallbackRateFraction = 0.5;

/// \brief How much credit of an account a gateway may spend at once.
struct credit_bursts {
    /// Fallback allowance that may be saved up, and the part of it that is available when it starts, both as
    /// time in seconds at its rate.
    double maxFallbackSeconds { 1.0 };
    double initialFallbackSeconds { 0.3 };
    /// Whether the tokens of each grant expire by themselves; otherwise a new grant renews the unspent ones.
    bool expiresByGrant { false };

    auto operator<=>(const credit_bursts&) const = default;
};

/// \brief A gateway's credit for each limited team or upstream: tokens granted by the coordinator, and a
/// fallback allowance for the time without one. No I/O and no clock; not thread-safe.
///
/// Granted credit expires after its lifetime. Times must come from a clock that also counts while the host is
/// suspended, so that a process that was stopped spends no credit from before. While no coordinator answers,
/// each gateway spends only its part of a fraction of the rate, because other gateways may still be granted
/// credit by a coordinator that this one cannot reach.
class credit_cache {
public:
    /// \param creditLifetime time for which granted credit may be spent
    /// \param fallbackFraction fraction of a rate limit that all gateways together may spend without a
    /// coordinator, from 0 to 1
    credit_cache(milliseconds creditLifetime, double fallbackFraction, credit_bursts bursts = {});

    /// Applies the limits. Known accounts keep their credit; the others are dropped.
    void setLimits(const std::vector<rate_limit>& limits, monotonic_time now);
    /// \param count gateways that share the limits; 0 where this is not known, which leaves no fallback
    /// allowance
    void setGatewayCount(unsigned count) { m_gatewayCount = count; }
    /// Starts or stops the fallback allowance: active while no coordinator answers.
    void setFallbackActive(bool isActive, monotonic_time now);

    /// \param grantedAt when the credit's lifetime starts, on the clock of the other calls
    void onGrant(const std::string& name, double tokens, monotonic_time grantedAt);

    /// Spends the tokens if credit and fallback allowance suffice; without a limit they always do.
    /// \return whether they did; otherwise nothing is spent
    bool trySpend(const std::string& name, double tokens, monotonic_time now);

    /// \return whether trySpend() would succeed.
    bool has(const std::string& name, double tokens, monotonic_time now);

    /// Returns the tokens of a request that certainly did not run to the account's credit.
    void refund(const std::string& name, double tokens, monotonic_time now);

    /// \return tokens to ask for beyond what requests wait for, from the account's recent use.
    double tokensToPrefetch(const std::string& name, monotonic_time now);

    /// Removes credit that was granted a while ago and that recent use does not need.
    /// \return tokens removed, to be returned to the coordinator for other gateways
    double removeIdleCredit(const std::string& name, monotonic_time now);

    bool knowsGatewayCount() const { return m_gatewayCount > 0; }

private:
    struct credit_grant {
        double tokens { 0 };
        monotonic_time grantedAt {};
    };

    struct account {
        double ratePerSecond { 0 };
        /// Credit that was granted and not spent.
        double grantedTokens { 0 };
        monotonic_time grantedAt {};
        /// What is left of the fallback allowance.
        double fallbackTokens { 0 };
        monotonic_time fallbackFilledAt {};
        /// Recent use, in tokens a second.
        double usePerSecond { 0 };
        monotonic_time useDecayedAt {};
        /// Mean size of a request.
        double meanRequestTokens { 0 };
        /// The parts of grantedTokens, oldest first, where they expire by themselves.
        std::vector<credit_grant> grants {};
    };

    /// Expires credit, lets the recent use decay and fills the fallback allowance.
    void advance(account& value, monotonic_time now) const;
    /// \return tokens that requests are expected to need soon; 0 where this is less than one request.
    static double expectedUse(const account& value);
    /// Takes granted tokens, those first that expire first.
    static void removeGranted(account& value, double tokens);

    milliseconds m_creditLifetime;
    double m_fallbackFraction;
    credit_bursts m_bursts;
    unsigned m_gatewayCount { 0 };
    bool m_isFallbackActive { true };
    std::map<std::string, account> m_accounts;
};

} // namespace sagesaddle
