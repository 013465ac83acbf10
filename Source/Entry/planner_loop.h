#pragma once

#include "Agree/freshness.h"
#include "Agree/log_client.h"
#include "Base/address.h"
#include "Entry/plan_view_builder.h"
#include "Plan/pass_pacer.h"
#include "Plan/placement_planner.h"
#include "Plan/planner_lease.h"
#include "Record/log_record.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

class metric_registry;

/// \brief Plans the fleet's placements while this entry holds the lease on it, and writes them to the log.
///
/// Nothing is planned while the log is away or the state is not fresh. Its lock guards what links and host
/// list tell, for moments only; the rest belongs to the thread that calls step().
class planner_loop {
public:
    struct options {
        /// Name of this entry in the records.
        std::string self;
        address log;
        std::string stream { configStream };
        placement_planner::options planner;
    };
    struct services {
        std::function<fleet_state_ptr()> state;
        std::function<freshness(monotonic_time now)> freshnessAt;
        std::function<plan_view_builder::load_report_map()> loadReports;
        /// Whether this entry goes on; one that drains leaves planning to others.
        std::function<bool()> mayPlan;
        metric_registry& metrics;
    };

    planner_loop(const options& settings, services dependencies);

    void onLink(const std::string& upstream, bool up);
    void onLeaving(const std::string& upstream);

    /// Looks once at what there is to do; to be called again and again, from one thread.
    void step();

private:
    /// A record in the log whose effect was not seen yet.
    struct pending_plan {
        std::uint64_t offset { 0 };
        plan_record record;
        std::vector<plan_step> steps;
    };

    void reportPendingPlan(const fleet_state& state);
    void runPass(const fleet_state& state, std::uint64_t fence, monotonic_time now);
    std::optional<plan_view> buildView(const fleet_state& state, monotonic_time now);
    std::optional<std::uint64_t> appendRecord(const record_body& body);

    const options m_settings;
    const services m_services;
    log_client m_log;
    std::mutex m_mutex;
    plan_view_builder m_viewBuilder { {} };
    placement_planner m_planner;
    planner_lease m_lease;
    pass_pacer m_pacer;
    std::optional<pending_plan> m_pendingPlan;
    monotonic_time m_pausedUntil;
};

} // namespace sagesaddle
