#pragma once

#include "Base/clock.h"
#include "Limit/share_token_bucket.h"

#include <algorithm>

namespace sagesaddle::testing {

/// \brief One token bucket for the whole fleet, in exact arithmetic: the bound that rate limits divided
/// between entries must keep.
class exact_bucket {
public:
    /// \param burst initial and highest level, in tokens
    exact_bucket(token_count tokensPerSecond, token_count burst, monotonic_time now)
        : m_rate(tokensPerSecond)
        , m_burst(burst)
        , m_level(burst * nano)
        , m_refilledAt(now)
    {
    }

    /// Takes the tokens if the level suffices.
    /// \return whether it did
    bool tryTake(token_count tokens, monotonic_time now)
    {
        refill(now);
        if (m_level < tokens * nano)
            return false;
        m_level -= tokens * nano;
        return true;
    }

    /// Takes tokens that were used elsewhere, even where this makes the level negative.
    /// \return whether the use in every window up to `now` stays within burst and rate
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
        m_level = std::min(
            m_level + m_rate * std::chrono::nanoseconds(now - m_refilledAt).count(), m_burst * nano);
        m_refilledAt = now;
    }

    token_count m_rate;
    token_count m_burst;
    token_count m_level;
    monotonic_time m_refilledAt;
};

} // namespace sagesaddle::testing
