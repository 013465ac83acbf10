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

/// \brief What an entry tells its operators of itself.
struct admin_status {
    std::string name;
    bool ready { false };
    bool draining { false };
    freshness fresh;
    fleet_state_ptr state;
    std::uint32_t inFlight { 0 };
    std::map<std::string, load_report> loadReports;
    std::map<std::string, bool> sideConnections;
    std::map<std::string, bool> peerConnections;
    std::vector<team_overload> overloads;
    monotonic_time now;
};

/// \return the report as JSON text.
std::string formatAdminStatus(const admin_status& report);

/// \return the decisions as JSON text.
std::string formatDecisions(const std::vector<decision_record>& decisions);

/// \brief Answers operators on the admin listener.
class admin_handler {
public:
    admin_handler(std::function<admin_status()> report, const decision_log& decisions,
        std::function<std::string()> metrics);

    void handle(http_call& call) const;

private:
    const std::function<admin_status()> m_report;
    const decision_log& m_decisions;
    const std::function<std::string()> m_metrics;
};

} // namespace sagesaddle
