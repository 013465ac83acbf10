#pragma once

#include "Limit/share_token_bucket.h"

#include <cstdint>

namespace sagesaddle {

/// \brief Credit that an entry holds from one share during one tenure of its holder; pure.
///
/// Credit is either in hand, spent or given back, never two of them; what is spent or given back is
/// counted as settled only after it left the hand.
class credit_account {
public:
    /// \param firstAskId the first ask that is sent for this account; grants for older ones are ignored
    explicit credit_account(std::uint64_t firstAskId)
        : m_firstAskId(firstAskId)
    {
    }

    /// Takes in a grant, along with those before it that were lost.
    void onGrant(std::uint64_t askId, token_count grantedTotal);

    /// \return what could be spent, at most `tokens`.
    token_count spend(token_count tokens);

    /// Destroys credit in hand and counts it as given back.
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
