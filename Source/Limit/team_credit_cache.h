#pragma once

#include "Base/clock.h"
#include "Fleet/fleet_config.h"

#include <map>
#include <string>

namespace sagesaddle {

/// Part of a team's rate that all entries together spend while none hears a coordinator; one that does not
/// hear from some of them leaves their part of it to them.
inline constexpr double fallbackRateFraction = 0.5;

/// \brief An entry's side of the teams' limits: credit in hand, and a small share of its own; pure.
///
/// Granted credit lapses after its life, on a clock that counts suspension, so that a process that stood
/// still spends nothing it held before. While no coordinator answers, each entry spends only a part of the
/// rate that all entries together can spend beside a coordinator that one of them cannot reach.
class team_credit_cache {
public:
    /// \param grantLife how long granted credit may be spent
    /// \param shareOfRate part of a team's rate that all entries together may spend without a coordinator
    team_credit_cache(milliseconds grantLife, double shareOfRate);

    void setTeams(const std::vector<team_config>& teams, monotonic_time now);
    /// \param entries entries that share the limits; 0 where that was never heard
    void setGatewayCount(unsigned entries) { m_entries = entries; }
    /// The coordinator answers, or does not: then the entry's own share fills.
    void setFallbackActive(bool isAlone, monotonic_time now);

    void onGrant(const std::string& team, double tokens, monotonic_time grantedAt);

    /// \return whether the tokens were in hand; they are then spent.
    bool trySpend(const std::string& team, double tokens, monotonic_time now);

    /// Gives back the tokens of a request that surely did not run.
    void refund(const std::string& team, double tokens, monotonic_time now);

    /// \return tokens to ask for beyond what requests wait for, by the team's recent use.
    double tokensToPrefetch(const std::string& team, monotonic_time now);

    /// Takes out of the hand what was granted a while ago and is not in steady use.
    /// \return tokens to give back to the coordinator, where others may need them
    double removeIdleCredit(const std::string& team, monotonic_time now);

    bool knowsGatewayCount() const { return m_entries > 0; }

private:
    struct account {
        double ratePerSecond { 0 };
        double burst { 0 };
        double inHand { 0 };
        monotonic_time grantedAt {};
        double share { 0 };
        monotonic_time sharedAt {};
        /// Tokens a second that were spent lately.
        double use { 0 };
        monotonic_time usedAt {};
        /// Tokens of a usual request.
        double usual { 0 };
    };

    void settle(account& value, monotonic_time now) const;
    /// \return tokens that the use of the next moments will take, where requests come often enough to tell.
    static double useAhead(const account& value);

    milliseconds m_grantLife;
    double m_shareOfRate;
    unsigned m_entries { 0 };
    bool m_isAlone { true };
    std::map<std::string, account> m_accounts;
};

} // namespace sagesaddle
