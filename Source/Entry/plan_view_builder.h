#pragma once

#include "Base/clock.h"
#include "Plan/plan_types.h"
#include "Record/fleet_state.h"
#include "Record/log_record.h"
#include "Wire/messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Builds the input of a planning pass from the records, the connections and the load reports.
///
/// An upstream whose connection broke stays usable for a while, so that a restart of its side process does
/// not cause models to be loaded elsewhere.
///
/// No I/O and no clock; not thread-safe.
class plan_view_builder {
public:
    struct options {
        /// Time after which a disconnected upstream is no longer usable.
        milliseconds disconnectTimeout { 2000 };
        /// Age of an engine's last report from which it is no longer usable, although its side process is
        /// connected.
        milliseconds maxEngineReportAge { 5000 };
        /// Longest wait, from the first call of isComplete(), for all connections and reports.
        milliseconds warmUp { 5000 };
    };
    using load_report_map = std::map<std::string, load_report>;

    explicit plan_view_builder(options settings);

    /// The side process of an upstream can be reached, or was disconnected or stopped answering.
    void onLink(const std::string& upstream, bool up, monotonic_time now);
    /// The platform lists the upstream as leaving; it is no longer usable.
    void onLeaving(const std::string& upstream);

    /// \return whether every engine is connected and has sent a report, or the warm-up is over.
    bool isComplete(const fleet_state& state, const load_report_map& loadReports, monotonic_time now);

    /// \return the input of a planning pass at `now`.
    plan_view makeView(const fleet_state& state, const load_report_map& loadReports, monotonic_time now);

private:
    struct connection_state {
        bool isUp { false };
        monotonic_time since;
    };

    plan_upstream makePlanUpstream(
        const upstream& record, const load_report_map& loadReports, monotonic_time now);
    std::map<std::string, double> demandByModel(
        const fleet_state& state, const load_report_map& loadReports) const;

    options m_settings;
    std::map<std::string, connection_state> m_connections;
    std::set<std::string> m_leaving;
    bool m_started { false };
    monotonic_time m_startedAt;
};

/// \return the record that applies the steps to the plan in the state; it contains no copies if the steps
/// change nothing.
plan_record makePlanRecord(
    const fleet_state& state, std::uint64_t fence, const std::vector<plan_step>& steps);

/// \return whether the plan in the state is the one that the record leads to.
bool isPlanApplied(const fleet_state& state, const plan_record& record);

} // namespace sagesaddle
