#include "Route/router.h"

#include "Route/upstream_load.h"

#include <algorithm>
#include <random>
#include <unordered_map>
#include <xxhash.h>

namespace sagesaddle {

namespace {

using upstream_id = std::uint32_t;
using id_list = std::vector<upstream_id>;

/// Time to come back where no upstream can take a request.
constexpr std::uint32_t noUpstreamRetryMs = 1000;
/// Copies of a model that one entry routes to while they have room.
constexpr std::size_t subsetSize = 8;
/// Copies beyond the subset that are looked at while it is full.
constexpr std::size_t widerSize = 16;
/// Share of the slots that batch requests fill before they look further.
constexpr double batchFullShare = 0.8;
/// An answer time this many times the best one's marks an upstream as slow.
constexpr double slowFactor = 2;
/// Share of a request's cost that a wholly cached prompt saves.
constexpr double prefixSaving = 0.5;
constexpr std::size_t maxPrefixes = 256;
/// Upstreams looked at for a cold load before all are.
constexpr std::size_t coldSample = 64;
/// Engines that are kept by model as the first ones for a cold load.
constexpr std::size_t coldChoices = 16;
/// A copy that is eased off for less than this is waited for rather than loaded elsewhere.
constexpr milliseconds loadWorthAfter { 1000 };

enum class zone_distance {
    SameZone,
    SameRegion,
    OtherRegion,
};

/// \return the share that the distance adds to a request's cost.
double costOf(zone_distance distance)
{
    switch (distance) {
    case zone_distance::SameZone:
        return 0;
    case zone_distance::SameRegion:
        return 0.1;
    case zone_distance::OtherRegion:
        return 1;
    }
    return 0;
}

/// \brief An upstream as the router sees it.
struct candidate {
    std::string name;
    upstream record;
    zone_distance distance { zone_distance::SameZone };
    std::uint64_t rank { 0 };
    /// Ranks the models for a cold load here, the same at every entry.
    std::uint64_t modelSeed { 0 };
    bool known { false };
    bool linkDown { false };
    bool leaving { false };
    bool draining { false };
    bool reported { false };
    std::uint64_t freeMemoryMb { 0 };
    std::vector<std::string> residentModels;
    std::vector<std::string> loadingModels;
    std::vector<std::uint64_t> prefixes;
    upstream_load load;

    bool takesWork() const { return known && !linkDown && !leaving && !draining && !record.leaving; }
    double slots() const { return std::max<std::uint32_t>(record.slots, 1); }
};

/// \brief Where the copies of a model, or the instances of a service, are.
struct copy_set {
    std::set<upstream_id> resident;
    std::set<upstream_id> loading;
    std::set<upstream_id> placed;
    /// Resident copies and placed ones not yet heard of, the subset of this entry first.
    id_list ready;
    /// Reported as being loaded.
    id_list coming;
    /// Placed, and reported as not loaded.
    id_list unloaded;
    bool stale { true };
    /// Engines for a cold load, best first; entries of one region agree on them.
    id_list cold;
    bool coldStale { true };
};

/// \brief The candidate that a search has found so far.
struct best_candidate {
    const candidate* value { nullptr };
    double cost { 0 };
    bool byPrefix { false };
};

/// \brief What a model takes on an engine that loads it.
struct load_need {
    std::uint64_t memoryMb { 0 };
    /// Whether memory counts that other models hold.
    bool byEviction { false };
};

} // namespace

struct router::impl {
    std::string region;
    std::string zone;
    std::uint64_t seed { 0 };
    std::mt19937_64 random;
    fleet_state_ptr state { std::make_shared<const fleet_state>() };
    std::vector<candidate> upstreams;
    std::unordered_map<std::string, upstream_id> ids;
    std::unordered_map<std::string, copy_set> models;
    std::unordered_map<std::string, copy_set> services;

    upstream_id idOf(const std::string& name);
    candidate* find(const std::string& name);
    zone_distance distanceTo(const upstream& value) const;

    void updateUpstreams(const fleet_state& next);
    void leaveService(upstream_id id);
    void setRecord(const std::string& name, const upstream* record);
    void updatePlacements(const fleet_state& next);
    void setCopies(upstream_id id, const load_report& report);
    void refreshCold(const std::string& model, copy_set& copies) const;
    void refresh(copy_set& copies) const;

    bool usable(const candidate& value, const route_request& request, monotonic_time now) const;
    bool isFull(const candidate& value, const route_request& request, monotonic_time now) const;
    double cachedShare(const candidate& value, const route_request& request) const;
    void consider(best_candidate& best, const candidate& value, const route_request& request,
        double bestSeconds, monotonic_time now) const;
    best_candidate pick(const id_list& from, std::size_t first, std::size_t last,
        const route_request& request, monotonic_time now);
    best_candidate pickBeyond(
        const id_list& from, std::size_t near, const route_request& request, monotonic_time now);
    best_candidate pickReady(const id_list& from, const route_request& request, monotonic_time now);
    const candidate* pickEased(const id_list& from, const route_request& request) const;
    bool mayLoadOn(const candidate& value, const load_need& need, const route_request& request,
        monotonic_time now) const;
    best_candidate pickCold(
        const id_list& preferred, const load_need& need, const route_request& request, monotonic_time now);
    bool comesBackSoon(const id_list& from, const route_request& request, monotonic_time now) const;
    route_choice chooseModel(const route_request& request, monotonic_time now);
    route_choice chooseService(const route_request& request, monotonic_time now);
    route_choice refuse(const id_list& eased, const route_request& request, monotonic_time now) const;
};

upstream_id router::impl::idOf(const std::string& name)
{
    const auto [found, added] = ids.emplace(name, static_cast<upstream_id>(upstreams.size()));
    if (added) {
        candidate& fresh = upstreams.emplace_back();
        fresh.name = name;
        fresh.rank = XXH3_64bits_withSeed(name.data(), name.size(), seed);
        fresh.modelSeed = XXH3_64bits(name.data(), name.size());
    }
    return found->second;
}

candidate* router::impl::find(const std::string& name)
{
    const auto found = ids.find(name);
    return found == ids.end() ? nullptr : &upstreams[found->second];
}

zone_distance router::impl::distanceTo(const upstream& value) const
{
    if (value.region != region)
        return zone_distance::OtherRegion;
    return value.zone == zone ? zone_distance::SameZone : zone_distance::SameRegion;
}

void router::impl::leaveService(upstream_id id)
{
    const candidate& value = upstreams[id];
    if (!value.known || value.record.kind != upstream_kind::Service)
        return;
    copy_set& instances = services[value.record.service];
    instances.placed.erase(id);
    instances.stale = true;
}

void router::impl::setRecord(const std::string& name, const upstream* record)
{
    const upstream_id id = idOf(name);
    leaveService(id);
    candidate& value = upstreams[id];
    const bool moved = record && (value.record.region != record->region || value.record.zone != record->zone);
    value.known = record != nullptr;
    value.leaving = value.leaving && record;
    if (!record)
        return;
    value.record = *record;
    value.distance = distanceTo(*record);
    if (record->kind == upstream_kind::Service) {
        services[record->service].placed.insert(id);
        services[record->service].stale = true;
    }
    if (!moved)
        return;
    for (auto& [model, copies] : models)
        copies.stale = copies.stale || copies.placed.contains(id) || copies.resident.contains(id);
}

void router::impl::updateUpstreams(const fleet_state& next)
{
    bool changed = false;
    for (const auto& [name, record] : state->upstreams) {
        if (next.upstreams.contains(name))
            continue;
        setRecord(name, nullptr);
        changed = true;
    }
    for (const auto& [name, record] : next.upstreams) {
        const auto old = state->upstreams.find(name);
        if (old != state->upstreams.end() && old->second == record)
            continue;
        setRecord(name, &record);
        changed = true;
    }
    if (!changed)
        return;
    for (auto& [model, copies] : models)
        copies.coldStale = true;
}

void router::impl::updatePlacements(const fleet_state& next)
{
    const auto change = [this](const placement& value, bool present) {
        copy_set& copies = models[value.model];
        const upstream_id id = idOf(value.upstream);
        if (present)
            copies.placed.insert(id);
        else
            copies.placed.erase(id);
        copies.stale = true;
    };
    if (state->placements == next.placements && state->plan == next.plan)
        return;
    const placement_map before = effectivePlacements(*state);
    const placement_map after = effectivePlacements(next);
    for (const auto& [key, value] : before)
        if (!after.contains(key))
            change(value, false);
    for (const auto& [key, value] : after)
        if (!before.contains(key))
            change(value, true);
}

void router::impl::setCopies(upstream_id id, const load_report& report)
{
    candidate& value = upstreams[id];
    const auto replace = [&](std::vector<std::string>& known, const std::vector<std::string>& reported,
                             std::set<upstream_id> copy_set::*copies) {
        if (known == reported)
            return;
        for (const std::string& name : known) {
            (models[name].*copies).erase(id);
            models[name].stale = true;
        }
        known = reported;
        for (const std::string& name : reported) {
            (models[name].*copies).insert(id);
            models[name].stale = true;
        }
    };
    replace(value.residentModels, report.residentModels, &copy_set::resident);
    replace(value.loadingModels, report.loadingModels, &copy_set::loading);
}

void router::impl::refreshCold(const std::string& model, copy_set& copies) const
{
    if (!copies.coldStale)
        return;
    copies.coldStale = false;
    using ranked = std::tuple<bool, std::uint64_t, upstream_id>;
    std::vector<ranked> engines;
    for (upstream_id id = 0; id < upstreams.size(); ++id) {
        const candidate& value = upstreams[id];
        if (!value.known || value.record.kind != upstream_kind::Engine)
            continue;
        const std::uint64_t rank = XXH3_64bits_withSeed(model.data(), model.size(), value.modelSeed);
        engines.emplace_back(value.distance == zone_distance::OtherRegion, rank, id);
    }
    const std::size_t kept = std::min(engines.size(), coldChoices);
    std::partial_sort(engines.begin(), engines.begin() + static_cast<std::ptrdiff_t>(kept), engines.end());
    copies.cold.clear();
    for (std::size_t at = 0; at < kept; ++at)
        copies.cold.push_back(std::get<upstream_id>(engines[at]));
}

void router::impl::refresh(copy_set& copies) const
{
    if (!copies.stale)
        return;
    copies.stale = false;
    copies.ready.assign(copies.resident.begin(), copies.resident.end());
    copies.coming.clear();
    copies.unloaded.clear();
    for (upstream_id id : copies.loading)
        if (!copies.resident.contains(id))
            copies.coming.push_back(id);
    for (upstream_id id : copies.placed) {
        if (copies.resident.contains(id) || copies.loading.contains(id))
            continue;
        const candidate& value = upstreams[id];
        const bool mayBeLoaded = !value.reported || value.record.kind == upstream_kind::Service;
        (mayBeLoaded ? copies.ready : copies.unloaded).push_back(id);
    }
    const auto closer = [this](upstream_id left, upstream_id right) {
        const candidate& one = upstreams[left];
        const candidate& other = upstreams[right];
        return std::tie(one.distance, one.rank, left) < std::tie(other.distance, other.rank, right);
    };
    std::sort(copies.ready.begin(), copies.ready.end(), closer);
    std::sort(copies.coming.begin(), copies.coming.end(), closer);
    std::sort(copies.unloaded.begin(), copies.unloaded.end(), closer);
}

bool router::impl::usable(const candidate& value, const route_request& request, monotonic_time now) const
{
    return value.takesWork() && value.load.available(now) && !request.tried.contains(value.name);
}

bool router::impl::isFull(const candidate& value, const route_request& request, monotonic_time now) const
{
    const double share = request.priority == priority::Batch ? batchFullShare : 1;
    return value.load.requests(now) >= share * value.slots();
}

double router::impl::cachedShare(const candidate& value, const route_request& request) const
{
    for (std::size_t at = request.prefixes.size(); at > 0; --at)
        if (std::binary_search(value.prefixes.begin(), value.prefixes.end(), request.prefixes[at - 1]))
            return static_cast<double>(at) / static_cast<double>(request.prefixes.size());
    return 0;
}

void router::impl::consider(best_candidate& best, const candidate& value, const route_request& request,
    double bestSeconds, monotonic_time now) const
{
    const double mean = value.load.meanSeconds(now);
    const double slowness = bestSeconds > 0 && mean > slowFactor * bestSeconds ? mean / bestSeconds : 1;
    const double cached = cachedShare(value, request);
    double cost = (1 + value.load.requests(now) / value.slots()) * slowness;
    cost *= (1 + costOf(value.distance)) * (1 + value.load.failureShare());
    cost *= 1 - prefixSaving * cached;
    if (!best.value || cost < best.cost)
        best = { &value, cost, cached > 0 };
}

best_candidate router::impl::pick(const id_list& from, std::size_t first, std::size_t last,
    const route_request& request, monotonic_time now)
{
    id_list open;
    double bestSeconds = 0;
    for (std::size_t at = first; at < last; ++at) {
        const candidate& value = upstreams[from[at]];
        if (!usable(value, request, now))
            continue;
        open.push_back(from[at]);
        const double mean = value.load.meanSeconds(now);
        if (mean > 0 && (bestSeconds == 0 || mean < bestSeconds))
            bestSeconds = mean;
    }
    best_candidate best;
    if (open.empty())
        return best;
    std::uniform_int_distribution<std::size_t> any(0, open.size() - 1);
    for (int choices = 0; choices < 2; ++choices)
        consider(best, upstreams[open[any(random)]], request, bestSeconds, now);
    if (!request.prefixes.empty())
        for (upstream_id id : open)
            if (cachedShare(upstreams[id], request) > 0)
                consider(best, upstreams[id], request, bestSeconds, now);
    return best;
}

/// Looks at some of the copies beyond the subset, and at all of them where none of those takes work.
best_candidate router::impl::pickBeyond(
    const id_list& from, std::size_t near, const route_request& request, monotonic_time now)
{
    const std::size_t beyond = from.size() - near;
    if (beyond > widerSize) {
        const std::size_t first = std::uniform_int_distribution<std::size_t>(0, beyond - 1)(random);
        id_list some;
        for (std::size_t step = 0; step < widerSize; ++step)
            some.push_back(from[near + (first + step) % beyond]);
        if (best_candidate best = pick(some, 0, widerSize, request, now); best.value)
            return best;
    }
    return pick(from, near, from.size(), request, now);
}

best_candidate router::impl::pickReady(const id_list& from, const route_request& request, monotonic_time now)
{
    const std::size_t near = std::min(from.size(), subsetSize);
    best_candidate best = pick(from, 0, near, request, now);
    if (near == from.size() || (best.value && !isFull(*best.value, request, now)))
        return best;
    const best_candidate wider = pickBeyond(from, near, request, now);
    return !best.value || (wider.value && wider.cost < best.cost) ? wider : best;
}

const candidate* router::impl::pickEased(const id_list& from, const route_request& request) const
{
    const candidate* best = nullptr;
    for (upstream_id id : from) {
        const candidate& value = upstreams[id];
        if (!value.takesWork() || request.tried.contains(value.name))
            continue;
        if (!best || value.load.easedUntil() < best->load.easedUntil())
            best = &value;
    }
    return best;
}

bool router::impl::mayLoadOn(
    const candidate& value, const load_need& need, const route_request& request, monotonic_time now) const
{
    const std::uint64_t memoryMb = need.byEviction ? value.record.memoryMb : value.freeMemoryMb;
    return value.known && value.record.kind == upstream_kind::Engine && memoryMb >= need.memoryMb
        && usable(value, request, now);
}

/// Requests for one model meet on one engine, so that it is loaded once and not by each of them.
best_candidate router::impl::pickCold(
    const id_list& preferred, const load_need& need, const route_request& request, monotonic_time now)
{
    for (upstream_id id : preferred)
        if (mayLoadOn(upstreams[id], need, request, now) && !isFull(upstreams[id], request, now))
            return { &upstreams[id], 0, false };
    best_candidate best;
    if (upstreams.empty())
        return best;
    std::uniform_int_distribution<std::size_t> any(0, upstreams.size() - 1);
    const std::size_t start = any(random);
    for (std::size_t step = 0; step < upstreams.size(); ++step) {
        if (step >= coldSample && best.value)
            break;
        const candidate& value = upstreams[(start + step) % upstreams.size()];
        if (mayLoadOn(value, need, request, now))
            consider(best, value, request, 0, now);
    }
    return best;
}

/// A copy that is only eased off for a moment answers sooner than one that must be loaded.
bool router::impl::comesBackSoon(const id_list& from, const route_request& request, monotonic_time now) const
{
    const candidate* soonest = pickEased(from, request);
    return soonest && soonest->load.easedUntil() - now < loadWorthAfter;
}

route_choice router::impl::refuse(
    const id_list& eased, const route_request& request, monotonic_time now) const
{
    const candidate* soonest = pickEased(eased, request);
    if (!soonest)
        return { "", "no_upstream", noUpstreamRetryMs };
    const auto wait = std::chrono::ceil<milliseconds>(soonest->load.easedUntil() - now).count();
    return { "", "no_upstream", static_cast<std::uint32_t>(std::max<milliseconds::rep>(wait, 1)) };
}

route_choice router::impl::chooseModel(const route_request& request, monotonic_time now)
{
    const auto record = state->models.find(request.model);
    if (record == state->models.end())
        return { "", "unknown_model", 0 };
    copy_set& copies = models[request.model];
    refresh(copies);
    if (best_candidate best = pickReady(copies.ready, request, now); best.value)
        return { best.value->name, best.byPrefix ? "prefix" : "least_loaded", 0 };
    if (best_candidate best = pickReady(copies.coming, request, now); best.value)
        return { best.value->name, "loading", 0 };
    if (best_candidate best = pickReady(copies.unloaded, request, now); best.value)
        return { best.value->name, "placed", 0 };
    std::uint64_t memoryMb = record->second.memoryMb;
    // An adapter's engine is the one that its base is loaded on.
    std::string home = request.model;
    if (const auto base = state->models.find(record->second.base); base != state->models.end()) {
        copy_set& bases = models[base->first];
        refresh(bases);
        if (best_candidate best = pickReady(bases.ready, request, now); best.value)
            return { best.value->name, "adapter_load", 0 };
        if (best_candidate best = pickReady(bases.coming, request, now); best.value)
            return { best.value->name, "adapter_load", 0 };
        home = base->first;
        memoryMb += base->second.memoryMb;
    }
    if (!request.mayLoad)
        return { "", "model_loading", noUpstreamRetryMs };
    if (comesBackSoon(copies.ready, request, now))
        return refuse(copies.ready, request, now);
    copy_set& homes = models[home];
    refreshCold(home, homes);
    // Without free memory anywhere a side process may still evict what nobody uses, and else says so.
    for (const bool byEviction : { false, true })
        if (best_candidate best = pickCold(homes.cold, { memoryMb, byEviction }, request, now); best.value)
            return { best.value->name, "cold_load", 0 };
    return refuse(copies.ready, request, now);
}

route_choice router::impl::chooseService(const route_request& request, monotonic_time now)
{
    copy_set& instances = services[request.service];
    refresh(instances);
    if (best_candidate best = pickReady(instances.ready, request, now); best.value)
        return { best.value->name, "least_loaded", 0 };
    return refuse(instances.ready, request, now);
}

router::router(std::string region, std::string zone, std::uint64_t seed)
    : m_impl(std::make_unique<impl>())
{
    m_impl->region = std::move(region);
    m_impl->zone = std::move(zone);
    m_impl->seed = seed;
    m_impl->random.seed(seed);
}

router::~router() = default;

void router::update(fleet_state_ptr state)
{
    m_impl->updateUpstreams(*state);
    m_impl->updatePlacements(*state);
    m_impl->state = std::move(state);
}

route_choice router::choose(const route_request& request, monotonic_time now)
{
    if (now >= request.deadline)
        return { "", "deadline", 0 };
    return request.service.empty() ? m_impl->chooseModel(request, now) : m_impl->chooseService(request, now);
}

void router::onSent(const std::string& upstream, double tokens, monotonic_time now)
{
    if (candidate* value = m_impl->find(upstream))
        value->load.onSent(tokens, now);
}

void router::onDone(const std::string& upstream, double tokens, bool failed, monotonic_time now)
{
    if (candidate* value = m_impl->find(upstream))
        value->load.onDone(tokens, failed, now);
}

void router::onLate(const std::string& upstream, double tokens, monotonic_time sentAt, monotonic_time now)
{
    if (candidate* value = m_impl->find(upstream))
        value->load.onLate(tokens, sentAt, now);
}

void router::onReport(const load_report& report, monotonic_time now)
{
    const upstream_id id = m_impl->idOf(report.upstream);
    candidate& value = m_impl->upstreams[id];
    value.load.onReport(report, now);
    value.draining = report.draining;
    value.freeMemoryMb = report.freeMemoryMb;
    value.prefixes.assign(report.cachedPrefixes.begin(),
        report.cachedPrefixes.begin()
            + static_cast<std::ptrdiff_t>(std::min(report.cachedPrefixes.size(), maxPrefixes)));
    std::sort(value.prefixes.begin(), value.prefixes.end());
    m_impl->setCopies(id, report);
    if (!value.reported) {
        value.reported = true;
        for (auto& [model, copies] : m_impl->models)
            copies.stale = copies.stale || copies.placed.contains(id);
    }
}

void router::onLink(const std::string& upstream, bool up, monotonic_time now)
{
    candidate& value = m_impl->upstreams[m_impl->idOf(upstream)];
    value.linkDown = !up;
    if (up)
        value.load.onLinkUp(now);
}

void router::onLeaving(const std::string& upstream)
{
    m_impl->upstreams[m_impl->idOf(upstream)].leaving = true;
}

} // namespace sagesaddle
