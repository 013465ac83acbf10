#pragma once

#include "Limit/share_token_bucket.h"

#include <cstdint>

namespace sagesaddle {

/// \brief The credit that one share granted to this entry, as the entry counts it. No I/O and no clock; not
/// thread-safe.
///
/// An account lasts for one tenure of the share's holder. Each granted token is either unspent, spent or
/// returned. Spent and returned tokens are settled: they are counted as such only once they can no longer be
/// spent.
class credit_account {
public:
    /// \param firstAskId the first ask sent for this account; grants for older asks are ignored
    explicit credit_account(std::uint64_t firstAskId)
        : m_firstAskId(firstAskId)
    {
    }

    /// Adds the credit of a grant and of any earlier grants that were lost.
    /// \param grantedTotal tokens that the holder has granted to this account so far
    void onGrant(std::uint64_t askId, token_count grantedTotal);

    /// Spends as many of the tokens as are unspent.
    /// \return tokens spent, at most `tokens`
    token_count spend(token_count tokens);

    /// Marks unspent tokens as returned, at most as many as there are; they can no longer be spent.
    void returnTokens(token_count tokens);

    token_count unspent() const { return m_granted - m_spent - m_returned; }
    token_count settledTotal() const { return m_spent + m_returned; }
    token_count returnedTotal() const { return m_returned; }

private:
    std::uint64_t m_firstAskId;
    token_count m_granted { 0 };
    token_count m_spent { 0 };
    token_count m_returned { 0 };
};

} // namespace sagesaddle
