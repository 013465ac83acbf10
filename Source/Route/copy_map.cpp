#include "Route/copy_map.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace sagesaddle {

namespace {

/// Prefix hashes that are kept of one report.
constexpr std::size_t maxPrefixes = 256;
/// Preferred engines for a cold load that are kept for each model.
constexpr std::size_t maxColdLoadEngines = 16;

} // namespace

copy_map::copy_map(std::string region, std::string zone, std::uint64_t seed)
    : m_region(std::move(region))
    , m_zone(std::move(zone))
    , m_seed(seed)
{
}

void copy_map::update(fleet_state_ptr next)
{
    updateUpstreams(*next);
    updatePlacements(*next);
    m_state = std::move(next);
}

void copy_map::onReport(const load_report& report)
{
    const upstream_id id = findOrAddId(report.upstream);
    route_candidate& candidate = m_upstreams[id];
    candidate.draining = report.draining;
    candidate.freeMemoryMb = report.freeMemoryMb;
    const auto prefixCount = std::min(report.cachedPrefixes.size(), maxPrefixes);
    candidate.prefixes.assign(report.cachedPrefixes.begin(),
        report.cachedPrefixes.begin() + static_cast<std::ptrdiff_t>(prefixCount));
    std::sort(candidate.prefixes.begin(), candidate.prefixes.end());
    updateReportedModels(id, report);
    if (std::exchange(candidate.hasReport, true))
        return;
    for (auto& [model, copies] : m_models)
        copies.stale = copies.stale || copies.placedOn.contains(id);
}

const copy_set& copy_map::copiesOfModel(const std::string& name)
{
    copy_set& copies = m_models[name];
    rebuildLists(copies);
    return copies;
}

const copy_set& copy_map::instancesOfService(const std::string& name)
{
    copy_set& instances = m_services[name];
    rebuildLists(instances);
    return instances;
}

const upstream_id_list& copy_map::coldLoadEngines(const std::string& model)
{
    copy_set& copies = m_models[model];
    rebuildColdLoadOrder(model, copies);
    return copies.coldLoadOrder;
}

upstream_id copy_map::findOrAddId(const std::string& name)
{
    const auto [found, added] = m_ids.emplace(name, static_cast<upstream_id>(m_upstreams.size()));
    if (added) {
        route_candidate& candidate = m_upstreams.emplace_back();
        candidate.name = name;
        candidate.rank = XXH3_64bits_withSeed(name.data(), name.size(), m_seed);
        candidate.coldLoadSeed = XXH3_64bits(name.data(), name.size());
    }
    return found->second;
}

route_candidate* copy_map::find(const std::string& name)
{
    const auto found = m_ids.find(name);
    return found == m_ids.end() ? nullptr : &m_upstreams[found->second];
}

zone_distance copy_map::distanceTo(const upstream& record) const
{
    if (record.region != m_region)
        return zone_distance::OtherRegion;
    return record.zone == m_zone ? zone_distance::SameZone : zone_distance::SameRegion;
}

void copy_map::removeFromService(upstream_id id)
{
    const route_candidate& candidate = m_upstreams[id];
    if (!candidate.isConfigured || candidate.record.kind != upstream_kind::Service)
        return;
    copy_set& instances = m_services[candidate.record.service];
    instances.placedOn.erase(id);
    instances.stale = true;
}

void copy_map::setRecord(const std::string& name, const upstream* record)
{
    const upstream_id id = findOrAddId(name);
    removeFromService(id);
    route_candidate& candidate = m_upstreams[id];
    const bool moved
        = record && (candidate.record.region != record->region || candidate.record.zone != record->zone);
    candidate.isConfigured = record != nullptr;
    candidate.leaving = candidate.leaving && record;
    if (!record)
        return;
    candidate.record = *record;
    candidate.distance = distanceTo(*record);
    if (record->kind == upstream_kind::Service) {
        m_services[record->service].placedOn.insert(id);
        m_services[record->service].stale = true;
    }
    if (!moved)
        return;
    for (auto& [model, copies] : m_models)
        copies.stale = copies.stale || copies.placedOn.contains(id) || copies.residentOn.contains(id);
}

void copy_map::updateUpstreams(const fleet_state& next)
{
    bool changed = false;
    for (const auto& [name, record] : m_state->upstreams) {
        if (next.upstreams.contains(name))
            continue;
        setRecord(name, nullptr);
        changed = true;
    }
    for (const auto& [name, record] : next.upstreams) {
        const auto old = m_state->upstreams.find(name);
        if (old != m_state->upstreams.end() && old->second == record)
            continue;
        setRecord(name, &record);
        changed = true;
    }
    if (!changed)
        return;
    for (auto& [model, copies] : m_models)
        copies.coldLoadStale = true;
}

void copy_map::updatePlacements(const fleet_state& next)
{
    const auto change = [this](const placement& copy, bool present) {
        copy_set& copies = m_models[copy.model];
        const upstream_id id = findOrAddId(copy.upstream);
        if (present)
            copies.placedOn.insert(id);
        else
            copies.placedOn.erase(id);
        copies.stale = true;
    };
    if (haveSamePlacements(*m_state, next))
        return;
    const placement_map before = effectivePlacements(*m_state);
    const placement_map after = effectivePlacements(next);
    for (const auto& [key, copy] : before)
        if (!after.contains(key))
            change(copy, false);
    for (const auto& [key, copy] : after)
        if (!before.contains(key))
            change(copy, true);
}

void copy_map::updateReportedModels(upstream_id id, const load_report& report)
{
    route_candidate& candidate = m_upstreams[id];
    const auto replace = [&](std::vector<std::string>& previous, const std::vector<std::string>& reported,
                             std::set<upstream_id> copy_set::*copies) {
        if (previous == reported)
            return;
        for (const std::string& name : previous) {
            (m_models[name].*copies).erase(id);
            m_models[name].stale = true;
        }
        previous = reported;
        for (const std::string& name : reported) {
            (m_models[name].*copies).insert(id);
            m_models[name].stale = true;
        }
    };
    replace(candidate.residentModels, report.residentModels, &copy_set::residentOn);
    replace(candidate.loadingModels, report.loadingModels, &copy_set::loadingOn);
}

void copy_map::rebuildColdLoadOrder(const std::string& model, copy_set& copies) const
{
    if (!copies.coldLoadStale)
        return;
    copies.coldLoadStale = false;
    using ranked = std::tuple<bool, std::uint64_t, upstream_id>;
    std::vector<ranked> engines;
    for (upstream_id id = 0; id < m_upstreams.size(); ++id) {
        const route_candidate& candidate = m_upstreams[id];
        if (!candidate.isConfigured || candidate.record.kind != upstream_kind::Engine)
            continue;
        const std::uint64_t rank = XXH3_64bits_withSeed(model.data(), model.size(), candidate.coldLoadSeed);
        engines.emplace_back(candidate.distance == zone_distance::OtherRegion, rank, id);
    }
    const std::size_t kept = std::min(engines.size(), maxColdLoadEngines);
    std::partial_sort(engines.begin(), engines.begin() + static_cast<std::ptrdiff_t>(kept), engines.end());
    copies.coldLoadOrder.clear();
    for (std::size_t at = 0; at < kept; ++at)
        copies.coldLoadOrder.push_back(std::get<upstream_id>(engines[at]));
}

void copy_map::rebuildLists(copy_set& copies) const
{
    if (!copies.stale)
        return;
    copies.stale = false;
    copies.ready.assign(copies.residentOn.begin(), copies.residentOn.end());
    copies.loading.clear();
    copies.unloaded.clear();
    for (upstream_id id : copies.loadingOn)
        if (!copies.residentOn.contains(id))
            copies.loading.push_back(id);
    for (upstream_id id : copies.placedOn) {
        if (copies.residentOn.contains(id) || copies.loadingOn.contains(id))
            continue;
        const route_candidate& candidate = m_upstreams[id];
        // Before its first report an upstream is assumed to have loaded what is placed on it.
        const bool assumeReady = !candidate.hasReport || candidate.record.kind == upstream_kind::Service;
        (assumeReady ? copies.ready : copies.unloaded).push_back(id);
    }
    const auto isCloser = [this](upstream_id left, upstream_id right) {
        const route_candidate& leftCandidate = m_upstreams[left];
        const route_candidate& rightCandidate = m_upstreams[right];
        return std::tie(leftCandidate.distance, leftCandidate.rank, left)
            < std::tie(rightCandidate.distance, rightCandidate.rank, right);
    };
    std::sort(copies.ready.begin(), copies.ready.end(), isCloser);
    std::sort(copies.loading.begin(), copies.loading.end(), isCloser);
    std::sort(copies.unloaded.begin(), copies.unloaded.end(), isCloser);
}

} // namespace sagesaddle
