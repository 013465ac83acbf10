#include "Limit/credit_account.h"

#include <algorithm>

namespace sagesaddle {

void credit_account::onGrant(std::uint64_t askId, token_count grantedTotal)
{
    if (askId >= m_firstAskId)
        m_granted = std::max(m_granted, grantedTotal);
}

token_count credit_account::spend(token_count tokens)
{
    const token_count spent = std::clamp<token_count>(tokens, 0, unspent());
    m_spent += spent;
    return spent;
}

void credit_account::returnTokens(token_count tokens)
{
    m_returned += std::clamp<token_count>(tokens, 0, unspent());
}

} // namespace sagesaddle
