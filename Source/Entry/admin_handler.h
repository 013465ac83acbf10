#pragma once

#include "Agree/fleet_follower.h"
#include "Entry/decision_log.h"
#include "Entry/overload_monitor.h"
#include "Serve/http_server.h"
#include "Watch/metric_registry.h"

#include <functional>
#include <map>
#include <string>

namespace sagesaddle {

/// \brief The content of `/admin/status`: what an entry knows about itself and its neighbours.
struct admin_status {
    std::string name;
    bool ready { false };
    bool draining { false };
    /// Whether the fleet's state may be acted upon, and how old it is.
    freshness stateFreshness;
    /// Null until the entry has a state.
    fleet_state_ptr state;
    /// Requests of callers that are being processed.
    std::uint32_t inFlight { 0 };
    /// Latest load report of each upstream.
    std::map<std::string, load_report> loadReports;
    /// Whether the entry is connected to the side process, by upstream.
    std::map<std::string, bool> sideConnections;
    /// Whether the entry is connected to the other entry, by name.
    std::map<std::string, bool> peerConnections;
    /// Overloads in progress.
    std::vector<team_overload> overloads;
    /// When the status was taken.
    monotonic_time now;
};

/// \return the status as JSON text.
std::string formatAdminStatus(const admin_status& status);

/// \return the decisions as JSON text.
std::string formatDecisions(const std::vector<decision_record>& decisions);

/// \brief Answers requests on the admin listener: health, readiness, metrics, status and explained decisions.
class admin_handler {
public:
    /// \param status takes the current status
    /// \param decisions must outlive the handler
    /// \param metrics formats the metrics as text
    admin_handler(std::function<admin_status()> status, const decision_log& decisions,
        std::function<std::string()> metrics);

    /// Answers one call; may run on several threads at once.
    void handle(http_call& call) const;

private:
    const std::function<admin_status()> m_status;
    const decision_log& m_decisions;
    const std::function<std::string()> m_metrics;
};

} // namespace sagesaddle
