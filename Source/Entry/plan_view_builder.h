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

/// \brief Makes the planner's view of the fleet out of the records, the links and the load reports; pure.
///
/// An upstream whose link broke is given up only after a while, so that a side that restarts costs no load.
class plan_view_builder {
public:
    struct options {
        /// How long a link must be down before its upstream is given up.
        milliseconds disconnectTimeout { 2000 };
        /// Age of an engine's last word at which it is given up though its side is linked.
        milliseconds maxEngineReportAge { 5000 };
        /// How long links and reports that have not come yet are waited for at the start.
        milliseconds warmUp { 5000 };
    };
    using load_report_map = std::map<std::string, load_report>;

    explicit plan_view_builder(options settings);

    void onLink(const std::string& upstream, bool up, monotonic_time now);
    void onLeaving(const std::string& upstream);

    /// \return whether every engine is linked and has reported, or the wait for them is over.
    bool isComplete(const fleet_state& state, const load_report_map& loadReports, monotonic_time now);

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

/// \return the record that carries out the steps on the state's plan; without copies where they change
/// nothing.
plan_record makePlanRecord(
    const fleet_state& state, std::uint64_t fence, const std::vector<plan_step>& steps);

/// \return whether the state's plan is as the record leaves it.
bool isPlanApplied(const fleet_state& state, const plan_record& record);

} // namespace sagesaddle
