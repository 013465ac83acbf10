#pragma once

#include "Base/clock.h"
#include "Limit/share_token_bucket.h"

#include <algorithm>

namespace sagesaddle::testing {

/// \brief One token bucket for the whole fleet, in exact arithmetic: what no division can exceed.
class exact_bucket {
public:
    /// \param tokensPerSecond whole tokens
    exact_bucket(token_count tokensPerSecond, token_count burst, monotonic_time now)
        : m_rate(tokensPerSecond)
        , m_burst(burst)
        , m_level(burst * nano)
        , m_at(now)
    {
    }

    /// \return whether so many tokens are there; they are then gone.
    bool tryTake(token_count tokens, monotonic_time now)
    {
        refill(now);
        if (m_level < tokens * nano)
            return false;
        m_level -= tokens * nano;
        return true;
    }

    /// Takes tokens that were used; \return whether every window up to now stays within the bound.
    bool use(token_count tokens, monotonic_time now)
    {
        refill(now);
        m_level -= tokens * nano;
        return m_level >= 0;
    }

private:
    static constexpr token_count nano = 1'000'000'000;

    void refill(monotonic_time now)
    {
        m_level = std::min(m_level + m_rate * std::chrono::nanoseconds(now - m_at).count(), m_burst * nano);
        m_at = now;
    }

    token_count m_rate;
    token_count m_burst;
    token_count m_level;
    monotonic_time m_at;
};

} // namespace sagesaddle::testing
