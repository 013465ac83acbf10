#pragma once

#include "measured_fleet.h"

#include <atomic>
#include <utility>
#include <vector>

namespace sagesaddle::measure {

/// \brief The faults of a run: a server killed, a zone cut off, the log away, each at its time.
class fault_injector {
public:
    explicit fault_injector(measured_fleet& target);

    /// Starts and ends the faults that are due.
    /// \param now since the start of the trace
    void advance(milliseconds now);

    /// \return whether the balancer takes the entry out: it notices a frozen one after a while.
    bool isOut(std::size_t entry) const { return entry == cutEntry && m_balancerNoticed; }

    /// \return the spans in which a fault was at work, its aftermath included.
    static std::vector<std::pair<milliseconds, milliseconds>> spans();

private:
    static constexpr std::size_t cutEntry = 1;

    void setZoneFrozen(bool frozen);

    measured_fleet& m_target;
    bool m_killed { false };
    bool m_frozen { false };
    bool m_thawed { false };
    bool m_logAway { false };
    bool m_logBack { false };
    std::atomic<bool> m_balancerNoticed { false };
};

} // namespace sagesaddle::measure
