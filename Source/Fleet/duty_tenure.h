#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <optional>

namespace sagesaddle {

/// \brief Whether this process is the one that gives orders and grants credit, and for how long; pure.
///
/// The platform's group deals the duty to one member and its membership times out. The holder counts the
/// time from before it sent the join that proved its membership, on a clock that counts suspension, and
/// stops a margin early. Orders wait out the time within which another holder's orders may still arrive.
class duty_tenure {
public:
    /// \param timeToLive how long the platform keeps a silent member
    /// \param margin how much earlier the holder stops by itself
    /// \param settleTime from taking the duty to the first order
    duty_tenure(monotonic_span timeToLive, monotonic_span margin, monotonic_span settleTime);

    /// A join was answered.
    /// \param sentAt when the join was sent
    /// \param generation the group's generation in the answer
    /// \param holds whether the answer deals the duty to this member
    void onJoined(monotonic_time sentAt, std::uint64_t generation, bool holds, monotonic_time now);

    /// Gives the duty up, as at the process's end.
    void resign();

    bool holds(monotonic_time now) const;
    bool mayOrder(monotonic_time now) const;

    /// \return the number that this tenure's orders carry; a later tenure's is higher.
    std::uint64_t fence() const { return m_fence; }
    /// \return the group's generation for the next join; 0 before the first.
    std::uint64_t generation() const { return m_generation; }

private:
    monotonic_span m_timeToLive;
    monotonic_span m_margin;
    monotonic_span m_settleTime;
    std::optional<monotonic_time> m_since;
    monotonic_time m_until {};
    std::uint64_t m_fence { 0 };
    std::uint64_t m_generation { 0 };
};

} // namespace sagesaddle
