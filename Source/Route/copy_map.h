#pragma once

#include "Record/fleet_state.h"
#include "Route/route_candidate.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sagesaddle {

/// \brief Where the copies of a model, or the instances of a service, are.
struct copy_set {
    std::set<upstream_id> residentOn;
    std::set<upstream_id> loadingOn;
    std::set<upstream_id> placedOn;
    /// Resident copies and placed ones not yet heard of, the subset of this entry first.
    upstream_id_list ready;
    /// Reported as being loaded.
    upstream_id_list loading;
    /// Placed, and reported as not loaded.
    upstream_id_list unloaded;
    bool stale { true };
    /// Engines for a cold load, best first; entries of one region agree on them.
    upstream_id_list cold;
    bool coldStale { true };
};

/// \brief The upstreams, and where the copies of models and the instances of services are; pure.
///
/// Kept up to date by states and load reports; the sorted lists of a model are made anew only when it is
/// looked up after a change.
class copy_map {
public:
    /// \param region where this entry stands
    /// \param zone where this entry stands
    /// \param seed for the entry's own order of the copies
    copy_map(std::string region, std::string zone, std::uint64_t seed);

    void update(fleet_state_ptr next);
    void onReport(const load_report& report);

    const fleet_state& state() const { return *m_state; }
    const std::vector<route_candidate>& upstreams() const { return m_upstreams; }
    const route_candidate& at(upstream_id id) const { return m_upstreams[id]; }

    /// \return the upstream of that name, known by the records or not.
    route_candidate& findOrAdd(const std::string& name) { return m_upstreams[idOf(name)]; }
    /// \return the upstream of that name, or null where nothing was heard of it.
    route_candidate* find(const std::string& name);

    const copy_set& copiesOfModel(const std::string& name);
    const copy_set& instancesOfService(const std::string& name);

    /// \return the engines for a cold load of the model, best first.
    const upstream_id_list& coldLoadEngines(const std::string& model);

private:
    upstream_id idOf(const std::string& name);
    zone_distance distanceTo(const upstream& value) const;
    void updateUpstreams(const fleet_state& next);
    void leaveService(upstream_id id);
    void setRecord(const std::string& name, const upstream* record);
    void updatePlacements(const fleet_state& next);
    void setCopies(upstream_id id, const load_report& report);
    void refresh(copy_set& copies) const;
    void refreshCold(const std::string& model, copy_set& copies) const;

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
