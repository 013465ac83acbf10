#pragma once

#include "Fleet/duty_lease.h"
#include "Gateway/coordinator.h"
#include "Loop/http_caller.h"
#include "Loop/timer.h"
#include "Watch/decision_lines.h"
#include "Watch/metric_registry.h"

#include <set>

namespace sagesaddle {

/// \brief Asks engines for reports and gives them the coordinator's orders, while the duty lasts.
class engine_order_sender {
public:
    engine_order_sender(event_loop& loop, coordinator& plans, std::string holder,
        std::function<const duty_lease&()> lease, decision_lines& lines, metric_registry& metrics);

    /// Follows the list of upstreams.
    void onUpstreams(const std::map<std::string, upstream_entry>& entries);

    /// Does what is due; called by the clock and when something is wanted.
    void runPass();

private:
    /// Each call makes its connection anew once an engine's start changes.
    struct engine_peer {
        upstream_entry entry;
        std::unique_ptr<http_caller> caller;
    };

    void askReport(const std::string& id, engine_book& book);
    void give(const planned_holding& planned);

    event_loop& m_loop;
    coordinator& m_plans;
    std::string m_holder;
    std::function<const duty_lease&()> m_lease;
    decision_lines& m_lines;
    metric_registry& m_metrics;
    std::map<std::string, engine_peer> m_peers;
    /// Peers that left; their handlers may be running.
    std::vector<engine_peer> m_left;
    monotonic_time m_plannedAt {};
    /// Engines that owe a report.
    std::set<std::string> m_reportsAsked;
    timer m_planTimer;
};

} // namespace sagesaddle
