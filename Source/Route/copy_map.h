#pragma once

#include "Record/fleet_state.h"
#include "Route/route_candidate.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sagesaddle {

/// \brief The upstreams with a copy of one model, or the instances of one service.
///
/// The sets are kept up to date. The lists are derived from them and rebuilt on demand; all but the one for
/// cold loads are sorted by distance, then in an order of this entry's own, so that they begin with the
/// subset of copies that this entry prefers.
struct copy_set {
    /// Reported to have the model in memory.
    std::set<upstream_id> residentOn;
    /// Reported to be loading the model.
    std::set<upstream_id> loadingOn;
    /// Configured or planned to hold the model, or configured as an instance of the service.
    std::set<upstream_id> placedOn;
    /// Upstreams with a resident copy, placed ones that sent no report yet, and instances of the service.
    upstream_id_list ready;
    /// Upstreams that are loading the model.
    upstream_id_list loading;
    /// Placed upstreams whose report shows the model neither resident nor loading.
    upstream_id_list unloaded;
    /// `ready`, `loading` and `unloaded` must be rebuilt before use.
    bool stale { true };
    /// Engines for a cold load, best first; entries of one region have the same list.
    upstream_id_list coldLoadOrder;
    /// `coldLoadOrder` must be rebuilt before use.
    bool coldLoadStale { true };
};

/// \brief All upstreams, and for each model and service the upstreams that serve it.
///
/// Configuration and load reports update the sets. The sorted lists of a model are rebuilt only when it is
/// looked up after a change.
///
/// Performs no I/O and reads no clock; not thread-safe.
class copy_map {
public:
    /// \param region region of this entry
    /// \param zone availability zone of this entry
    /// \param seed determines the order of this entry among upstreams at the same distance
    copy_map(std::string region, std::string zone, std::uint64_t seed);

    /// \brief Takes over the configuration; the changes are found by comparison with the previous one.
    void update(fleet_state_ptr next);

    /// \brief Takes over a load report.
    void onReport(const load_report& report);

    const fleet_state& state() const { return *m_state; }
    const std::vector<route_candidate>& upstreams() const { return m_upstreams; }
    const route_candidate& at(upstream_id id) const { return m_upstreams[id]; }

    /// \return the upstream of that name, added without a record where it is new.
    route_candidate& findOrAdd(const std::string& name) { return m_upstreams[findOrAddId(name)]; }

    /// \return the upstream of that name, or null where it was never mentioned.
    route_candidate* find(const std::string& name);

    const copy_set& copiesOfModel(const std::string& name);
    const copy_set& instancesOfService(const std::string& name);

    /// \return the preferred engines for a cold load of the model, best first.
    const upstream_id_list& coldLoadEngines(const std::string& model);

private:
    upstream_id findOrAddId(const std::string& name);
    zone_distance distanceTo(const upstream& record) const;
    void updateUpstreams(const fleet_state& next);
    void removeFromService(upstream_id id);
    void setRecord(const std::string& name, const upstream* record);
    void updatePlacements(const fleet_state& next);
    void updateReportedModels(upstream_id id, const load_report& report);
    void rebuildLists(copy_set& copies) const;
    void rebuildColdLoadOrder(const std::string& model, copy_set& copies) const;

    std::string m_region;
    std::string m_zone;
    std::uint64_t m_seed;
    fleet_state_ptr m_state { std::make_shared<const fleet_state>() };
    std::vector<route_candidate> m_upstreams;
    std::unordered_map<std::string, upstream_id> m_ids;
    std::unordered_map<std::string, copy_set> m_models;
    std::unordered_map<std::string, copy_set> m_services;
};

} // namespace sagesaddle
