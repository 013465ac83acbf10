#pragma once

#include "Route/router.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace sagesaddle {

/// \brief The baseline that the router is measured against: it uses the placed copies of a model in turn.
///
/// It has the interface of router. It skips upstreams that are not connected or are leaving, and ignores load
/// and failures.
///
/// Performs no I/O and reads no clock; not thread-safe.
class round_robin_router {
public:
    void update(fleet_state_ptr state) { m_state = std::move(state); }

    route_choice choose(const route_request& request, monotonic_time now);

    void onSent(const std::string& /*upstream*/, double /*tokens*/, monotonic_time /*now*/) { }
    void onDone(const std::string& /*upstream*/, double /*tokens*/, bool /*failed*/, monotonic_time /*now*/)
    {
    }
    void onDeadlinePassed(
        const std::string& /*upstream*/, double /*tokens*/, monotonic_time /*sentAt*/, monotonic_time /*now*/)
    {
    }
    void onReport(const load_report& /*report*/, monotonic_time /*now*/) { }
    void onLink(const std::string& upstream, bool up, monotonic_time now);
    void onLeaving(const std::string& upstream) { m_leaving.insert(upstream); }

private:
    std::vector<std::string> candidates(const route_request& request) const;
    bool isUsable(const std::string& upstream, const route_request& request) const;

    fleet_state_ptr m_state;
    std::set<std::string> m_connected;
    std::set<std::string> m_leaving;
    /// Number of requests so far, by model or service.
    std::map<std::string, std::size_t> m_turns;
};

} // namespace sagesaddle
