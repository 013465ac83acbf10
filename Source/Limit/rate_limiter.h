#pragma once

#include "Base/clock.h"
#include "Record/fleet_state.h"
#include "Wire/messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sagesaddle {

/// \brief Whether a request fits its team's rate, and if not, why and when to come back.
struct rate_decision {
    bool admitted { false };
    /// Empty where admitted; else `team_rate`, `request_over_burst` or `rate_holder_away`.
    std::string reason;
    std::uint32_t retryAfterMs { 0 };

    auto operator<=>(const rate_decision&) const = default;
};

/// \brief What an entry does when its own part of a team's rate is spent.
enum class rate_sharing {
    /// It asks the other holders for credit.
    Dynamic,
    /// It refuses: each entry has a fixed part.
    Static,
};

/// \brief Holds every team to its rate and burst over all entries together; safe from any thread.
///
/// The entries of the membership epoch each hold a part of a team's rate; a request is admitted on
/// credit that was debited at a holder first. \see docs/design/team-rates.md
class rate_limiter {
public:
    /// Sends a message to another entry; false where it could not be sent.
    using send_to_peer = std::function<bool(const std::string& entry, const message& value)>;

    /// \param self name of this entry in the records
    /// \param sharing products ask; the other is the baseline that they are measured against
    rate_limiter(std::string self, send_to_peer send, rate_sharing sharing = rate_sharing::Dynamic);
    ~rate_limiter();

    rate_limiter(const rate_limiter&) = delete;
    rate_limiter& operator=(const rate_limiter&) = delete;

    /// Takes in a newer state: teams, rates and the membership epoch.
    void update(fleet_state_ptr state, monotonic_time now);

    /// Charges a request, waiting for credit from other entries where that may help.
    /// \param tokens all that the request may use: prompt and longest answer
    /// \param deadline when to give up waiting
    rate_decision admit(const std::string& team, double tokens, monotonic_time deadline);

    /// \return the number that tells this process from others of its name, to be listed in the epochs.
    std::uint64_t runId() const;

    /// \return whether the epoch lists this entry, but by the name of an earlier process: this one holds no
    /// share before two records are written, an epoch without the entry and then one with it.
    bool mustRejoin() const;

    /// Answers another entry's ask.
    credit_grant answer(const credit_ask& ask, monotonic_time now);

    /// Takes in another entry's grant.
    void onGrant(const credit_grant& grant, monotonic_time now);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
