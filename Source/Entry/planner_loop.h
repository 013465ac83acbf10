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

/// \brief Plans the placements of the fleet while this entry holds the planner lease, and appends the plans
/// to the log.
///
/// Nothing is planned while the log is unreachable or the state is not fresh.
///
/// onLink() and onLeaving() may be called from any thread and wait only briefly for a planning pass, since
/// the lock is held only while the input of the pass is built. step() must always be called from the same
/// thread.
class planner_loop {
public:
    struct options {
        /// Name of this entry in the records.
        std::string self;
        address log;
        /// Stream of the log with the configuration.
        std::string stream { configStream };
        placement_planner::options planner;
    };
    struct services {
        /// Newest state, or null before there is one.
        std::function<fleet_state_ptr()> state;
        std::function<freshness(monotonic_time now)> freshnessAt;
        /// Latest load report of each upstream.
        std::function<plan_view_builder::load_report_map()> loadReports;
        /// Whether this entry may plan; one that drains leaves planning to others.
        std::function<bool()> mayPlan;
        metric_registry& metrics;
    };

    planner_loop(const options& settings, services dependencies);

    /// The side process of an upstream can be reached, or was disconnected or stopped answering.
    void onLink(const std::string& upstream, bool up);
    /// The platform lists the upstream as leaving.
    void onLeaving(const std::string& upstream);

    /// Does what is due: reports the outcome of the previous plan, acquires or renews the lease, or plans.
    /// Call it periodically.
    void step();

private:
    /// A plan in the log that no state contains yet.
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
