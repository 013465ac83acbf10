#pragma once

#include "Fleet/coordinator_lease.h"
#include "Gateway/coordinator.h"
#include "Loop/loop_http_client.h"
#include "Loop/timer.h"
#include "Watch/decision_logger.h"
#include "Watch/metric_registry.h"

#include <set>

namespace sagesaddle {

/// \brief Requests reports from engines and sends them the coordinator's orders, while the lease is held.
class engine_order_sender {
public:
    /// \param planSource plans the orders and holds the engines' trackers
    /// \param holder name under which this gateway gives orders
    engine_order_sender(event_loop& loop, coordinator& planSource, std::string holder,
        std::function<const coordinator_lease&()> lease, decision_logger& lines, metric_registry& metrics);

    /// Applies the list of upstreams.
    void onUpstreams(const std::map<std::string, upstream_entry>& entries);

    /// Requests the reports and sends the orders that are due. Called by a timer and whenever requests could
    /// not be placed.
    void runPass();

private:
    /// A restarted engine gets a new client, and so new connections.
    struct engine_peer {
        upstream_entry entry;
        std::unique_ptr<loop_http_client> client;
    };

    void requestReport(const std::string& id, engine_model_tracker& tracker);
    void sendOrder(const planned_model_order& planned);

    event_loop& m_loop;
    coordinator& m_coordinator;
    std::string m_holder;
    std::function<const coordinator_lease&()> m_lease;
    decision_logger& m_lines;
    metric_registry& m_metrics;
    std::map<std::string, engine_peer> m_peers;
    /// Removed peers are kept until the next pass, since their handlers may be running.
    std::vector<engine_peer> m_removedPeers;
    monotonic_time m_plannedAt {};
    /// Ids of the engines whose reports are outstanding.
    std::set<std::string> m_pendingReports;
    timer m_planTimer;
};

} // namespace sagesaddle
