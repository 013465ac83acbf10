#pragma once

#include "Base/clock.h"
#include "Record/fleet_state.h"
#include "Wire/messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sagesaddle {

/// \brief Whether a request fits its team's rate, and if not, why and when to retry.
struct rate_decision {
    bool admitted { false };
    /// Empty where admitted; else `team_rate`, `request_over_burst` or `rate_holder_away`.
    std::string reason;
    /// 0 where admitted, and where no retry can help.
    std::uint32_t retryAfterMs { 0 };

    auto operator<=>(const rate_decision&) const = default;
};

/// \brief What an entry does when its own shares of a team's rate are spent.
enum class rate_sharing {
    /// It asks the holders of the other shares for credit.
    Dynamic,
    /// It refuses: each entry has a fixed part of the rate.
    Static,
};

/// \brief Holds every team to its rate and burst over all entries together; safe from any thread.
///
/// Each team's rate is divided into shares, which entries of the current membership epoch hold. A request is
/// admitted only with tokens that the holder of a share has debited before. \see docs/design/team-rates.md
class rate_limiter {
public:
    /// Sends a message to another entry; false where it could not be sent.
    using send_to_peer = std::function<bool(const std::string& entry, const message& value)>;

    /// \param self name of this entry in the records
    /// \param sharing `Dynamic` in products; `Static` is the baseline for measurements
    rate_limiter(std::string self, send_to_peer send, rate_sharing sharing = rate_sharing::Dynamic);
    ~rate_limiter();

    rate_limiter(const rate_limiter&) = delete;
    rate_limiter& operator=(const rate_limiter&) = delete;

    /// Applies a newer state: teams, rates and the membership epoch.
    void update(fleet_state_ptr state, monotonic_time now);

    /// Charges a request to its team, and waits for credit from other entries where that may help.
    /// \param tokens upper bound of the request's use: prompt and longest answer
    /// \param deadline when to stop waiting; the wait is bounded besides
    rate_decision admit(const std::string& team, double tokens, monotonic_time deadline);

    /// \return the id that tells this process from others under the same name, to be listed in the epochs.
    std::uint64_t runId() const;

    /// \return whether the epoch lists this entry's name for an earlier process. This process then holds no
    /// shares until two records are written: an epoch without the entry, and one with it.
    bool mustRejoin() const;

    /// Answers another entry's ask for credit.
    credit_grant answer(const credit_ask& ask, monotonic_time now);

    /// Applies another entry's answer to an ask of this entry.
    void onGrant(const credit_grant& grant, monotonic_time now);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
