#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// Whole tokens.
using token_count = std::int64_t;

/// \brief What one asker has told a holder of the credit it was granted.
struct credit_settlement {
    std::string asker;
    std::uint64_t askId { 0 };
    /// All credit of the holder that the asker has spent or given back so far.
    token_count settledTotal { 0 };
    /// The part of it that was given back unspent.
    token_count returnedTotal { 0 };

    auto operator<=>(const credit_settlement&) const = default;
};

/// \brief Credit that a holder has debited for an asker.
struct credit_debit {
    token_count tokens { 0 };
    /// All credit granted to the asker so far, this debit included.
    token_count grantedTotal { 0 };

    auto operator<=>(const credit_debit&) const = default;
};

/// \brief One share of a team's rate: a token bucket that hands out credit by debit before send; pure.
///
/// The level and all credit that askers may still hold never exceed the share's burst: the refill is
/// capped by what is outstanding. Totals are cumulative, so a lost, doubled or late message does no harm.
class share_token_bucket {
public:
    /// \param tokensPerSecond the share's part of the rate
    /// \param burst the share's part of the burst
    /// \param level tokens to start with
    share_token_bucket(double tokensPerSecond, token_count burst, token_count level, monotonic_time now);

    /// Changes the parts, from now on.
    void setRate(double tokensPerSecond, token_count burst, monotonic_time now);

    /// \return whole tokens that can be debited now.
    token_count level(monotonic_time now);

    /// Debits tokens for the holder's own use.
    /// \return what could be debited, at most `tokens`
    token_count debit(token_count tokens, monotonic_time now);

    /// Settles and debits for an asker. An ask that came before or is older than the last debits nothing.
    /// \param needed tokens that a request waits for
    /// \param prefetch further tokens, granted only while little is outstanding
    credit_debit grant(
        const credit_settlement& settlement, token_count needed, token_count prefetch, monotonic_time now);

    /// Writes off the credit of an asker that can no longer spend any.
    void writeOff(const std::string& asker, monotonic_time now);

    /// \return names of the askers that were granted credit.
    std::vector<std::string> askers() const;

    /// \return time until the level reaches so many tokens, if none is debited.
    milliseconds timeUntilLevel(token_count tokens, monotonic_time now);

    token_count outstanding() const { return m_outstanding; }

private:
    /// \brief The account of one asker.
    struct ledger {
        std::uint64_t lastAskId { 0 };
        token_count granted { 0 };
        token_count settled { 0 };
        token_count returned { 0 };
    };

    void refill(monotonic_time now);
    void cap();
    void settle(ledger& account, const credit_settlement& settlement);

    std::int64_t m_nanoTokensPerSecond { 0 };
    token_count m_burst { 0 };
    /// In units of 10^-9 token.
    std::int64_t m_level { 0 };
    /// Part of a unit that the last refill left over, in 10^-9 of it.
    std::int64_t m_remainder { 0 };
    token_count m_outstanding { 0 };
    monotonic_time m_refilledAt;
    std::map<std::string, ledger> m_ledgers;
};

} // namespace sagesaddle
