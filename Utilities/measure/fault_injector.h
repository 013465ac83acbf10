#pragma once

#include "measured_fleet.h"

#include <atomic>
#include <utility>
#include <vector>

namespace sagesaddle::measure {

/// \brief Injects the faults of a run at set times: an engine killed, the processes of a zone frozen, the log
/// unreachable.
class fault_injector {
public:
    explicit fault_injector(measured_fleet& target);

    /// Starts and ends the faults that are due.
    /// \param now time since the start of the workload
    void advance(milliseconds now);

    /// \return whether the load balancer sends no requests to the entry; it notices a frozen entry, and that
    /// the entry is back, after 1 s. Thread-safe.
    bool isRemovedByBalancer(std::size_t entry) const { return entry == frozenEntry && m_balancerNoticed; }

    /// \return the times, since the start of the workload, in which a fault has effects: from its start until
    /// 3 s after its end.
    static std::vector<std::pair<milliseconds, milliseconds>> faultPeriods();

private:
    static constexpr std::size_t frozenEntry = 1;

    void setZoneFrozen(bool frozen);

    measured_fleet& m_target;
    bool m_killed { false };
    bool m_frozen { false };
    bool m_thawed { false };
    bool m_logMadeUnreachable { false };
    bool m_logRestored { false };
    std::atomic<bool> m_balancerNoticed { false };
};

} // namespace sagesaddle::measure
