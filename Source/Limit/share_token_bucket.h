#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// Whole tokens.
using token_count = std::int64_t;

/// \brief What an asker reports to the holder of a share about the credit that it was granted.
///
/// Totals count from the start of the asker's account, so each report replaces the earlier ones.
struct credit_settlement {
    /// Name of the asker's account.
    std::string asker;
    /// Id of the ask that carries the report; grows with each ask of the account.
    std::uint64_t askId { 0 };
    /// Tokens that the asker has spent or returned so far.
    token_count settledTotal { 0 };
    /// The part of them that was returned unspent.
    token_count returnedTotal { 0 };

    auto operator<=>(const credit_settlement&) const = default;
};

/// \brief Credit that a holder has debited for an asker.
struct credit_debit {
    token_count tokens { 0 };
    /// Tokens granted to the asker so far, this debit included.
    token_count grantedTotal { 0 };

    auto operator<=>(const credit_debit&) const = default;
};

/// \brief The token bucket of one share of a team's rate, kept by the share's holder. No I/O and no clock;
/// not thread-safe.
///
/// Tokens are debited before they are used or granted. Outstanding credit is granted but not settled; the
/// refill stops where the level and the outstanding credit together reach the burst. They never exceed it
/// together, unless the burst was lowered below the credit that is outstanding already. Totals are
/// cumulative, so lost, duplicate and late messages cannot create tokens.
class share_token_bucket {
public:
    /// \param tokensPerSecond the share's part of the team's rate
    /// \param burst the share's part of the team's burst
    /// \param level initial level, in tokens
    share_token_bucket(double tokensPerSecond, token_count burst, token_count level, monotonic_time now);

    /// Changes rate and burst from `now` on.
    void setRate(double tokensPerSecond, token_count burst, monotonic_time now);

    /// \return whole tokens that can be debited now.
    token_count level(monotonic_time now);

    /// Debits tokens for the holder's own use.
    /// \return tokens debited, at most `tokens`
    token_count debit(token_count tokens, monotonic_time now);

    /// Applies an asker's settlement and debits tokens for it. An ask that is a duplicate or older than the
    /// last one debits nothing.
    /// \param needed tokens that a request waits for
    /// \param prefetch further tokens, granted only while little credit is outstanding
    credit_debit grant(
        const credit_settlement& settlement, token_count needed, token_count prefetch, monotonic_time now);

    /// Writes off the outstanding credit of an asker that can no longer spend it. The level doesn't rise, but
    /// the refill may use the room again.
    void writeOff(const std::string& asker, monotonic_time now);

    /// \return names of the askers' accounts that were opened here and not written off.
    std::vector<std::string> askers() const;

    /// \return time until the level reaches `tokens` if nothing is debited, at most a day.
    milliseconds timeUntilLevel(token_count tokens, monotonic_time now);

    /// \return tokens that were granted and not yet settled or written off.
    token_count outstanding() const { return m_outstanding; }

private:
    /// \brief Totals of one asker's account.
    struct asker_account {
        std::uint64_t lastAskId { 0 };
        token_count granted { 0 };
        token_count settled { 0 };
        token_count returned { 0 };
    };

    void refill(monotonic_time now);
    /// Lowers the level to the burst less the outstanding credit.
    void capLevel();
    void settle(asker_account& account, const credit_settlement& settlement);

    std::int64_t m_nanoTokensPerSecond { 0 };
    token_count m_burst { 0 };
    /// In nanotokens (10^-9 token).
    std::int64_t m_level { 0 };
    /// Fraction of a nanotoken that the last refill left over, in units of 10^-9 nanotoken.
    std::int64_t m_remainder { 0 };
    token_count m_outstanding { 0 };
    monotonic_time m_refilledAt;
    std::map<std::string, asker_account> m_accounts;
};

} // namespace sagesaddle
