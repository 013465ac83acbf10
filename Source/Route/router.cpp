#include "Route/router.h"

#include "Route/copy_map.h"

#include <algorithm>
#include <random>

namespace sagesaddle {

namespace {

/// Retry time that is returned where no upstream can take a request and no end of a backoff is known.
constexpr std::uint32_t noUpstreamRetryMs = 1000;
/// Copies of a model that one entry prefers while they have free slots.
constexpr std::size_t subsetSize = 8;
/// Copies outside the subset that are sampled while the subset is full.
constexpr std::size_t outsideSampleSize = 16;
/// Share of the slots at which an upstream counts as full for batch requests.
constexpr double batchFullShare = 0.8;
/// Ratio to the shortest mean answer time of the candidates above which an upstream counts as slow.
constexpr double slowFactor = 2;
/// Share of the cost that a fully cached prompt saves.
constexpr double prefixSaving = 0.5;
/// Upstreams that are compared for a cold load where no preferred engine can take it. If none of them can
/// either, the search goes on up to the first that can.
constexpr std::size_t coldLoadSampleSize = 64;
/// A copy with less backoff left is waited for; with more, the model is loaded elsewhere.
constexpr milliseconds minBackoffForLoad { 1000 };

/// \return the share that the distance adds to the cost of an upstream.
double distanceCost(zone_distance distance)
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

/// \brief The candidate with the lowest cost that a search has found so far.
struct best_candidate {
    /// Null where none was found.
    const route_candidate* candidate { nullptr };
    double cost { 0 };
    /// Whether it has cached a prefix of the prompt.
    bool hasPrefix { false };
};

/// \brief What an engine needs to load a model.
struct load_requirement {
    std::uint64_t memoryMb { 0 };
    /// Whether memory in use by other models counts as available.
    bool mayEvict { false };
};

} // namespace

struct router::impl {
    impl(std::string region, std::string zone, std::uint64_t seed)
        : map(std::move(region), std::move(zone), seed)
        , random(seed)
    {
    }

    copy_map map;
    std::mt19937_64 random;

    bool isUsable(const route_candidate& candidate, const route_request& request, monotonic_time now) const;
    bool isFull(const route_candidate& candidate, const route_request& request, monotonic_time now) const;
    /// \return the share of the prompt that the upstream has cached, from 0 to 1.
    double cachedShare(const route_candidate& candidate, const route_request& request) const;
    /// \brief Makes the candidate the best one if its cost is lower.
    /// \param shortestSeconds shortest mean answer time of the candidates compared; 0 where unknown
    void consider(best_candidate& best, const route_candidate& candidate, const route_request& request,
        double shortestSeconds, monotonic_time now) const;
    /// \brief Chooses among the usable upstreams at the positions from first to below last of a list.
    best_candidate pick(const upstream_id_list& from, std::size_t first, std::size_t last,
        const route_request& request, monotonic_time now);
    best_candidate pickOutsideSubset(
        const upstream_id_list& from, std::size_t subset, const route_request& request, monotonic_time now);
    best_candidate pickPreferringSubset(
        const upstream_id_list& from, const route_request& request, monotonic_time now);
    const route_candidate* pickFirstAvailable(
        const upstream_id_list& from, const route_request& request) const;
    bool canLoad(const route_candidate& candidate, const load_requirement& requirement,
        const route_request& request, monotonic_time now) const;
    best_candidate pickForColdLoad(const upstream_id_list& preferred, const load_requirement& requirement,
        const route_request& request, monotonic_time now);
    bool isAvailableSoon(
        const upstream_id_list& from, const route_request& request, monotonic_time now) const;
    route_choice chooseModel(const route_request& request, monotonic_time now);
    route_choice chooseLoad(
        const model& wanted, const copy_set& copies, const route_request& request, monotonic_time now);
    route_choice chooseService(const route_request& request, monotonic_time now);
    route_choice reject(
        const upstream_id_list& candidates, const route_request& request, monotonic_time now) const;
};

bool router::impl::isUsable(
    const route_candidate& candidate, const route_request& request, monotonic_time now) const
{
    return candidate.acceptsRequests() && candidate.load.available(now)
        && !request.tried.contains(candidate.name);
}

bool router::impl::isFull(
    const route_candidate& candidate, const route_request& request, monotonic_time now) const
{
    const double share = request.priority == priority::Batch ? batchFullShare : 1;
    return candidate.load.requests(now) >= share * candidate.slots();
}

double router::impl::cachedShare(const route_candidate& candidate, const route_request& request) const
{
    for (std::size_t at = request.prefixes.size(); at > 0; --at)
        if (std::binary_search(
                candidate.prefixes.begin(), candidate.prefixes.end(), request.prefixes[at - 1]))
            return static_cast<double>(at) / static_cast<double>(request.prefixes.size());
    return 0;
}

void router::impl::consider(best_candidate& best, const route_candidate& candidate,
    const route_request& request, double shortestSeconds, monotonic_time now) const
{
    const double mean = candidate.load.meanSeconds(now);
    const double slowness
        = shortestSeconds > 0 && mean > slowFactor * shortestSeconds ? mean / shortestSeconds : 1;
    const double cached = cachedShare(candidate, request);
    double cost = (1 + candidate.load.requests(now) / candidate.slots()) * slowness;
    cost *= (1 + distanceCost(candidate.distance)) * (1 + candidate.load.failureRatio());
    cost *= 1 - prefixSaving * cached;
    if (!best.candidate || cost < best.cost)
        best = { &candidate, cost, cached > 0 };
}

best_candidate router::impl::pick(const upstream_id_list& from, std::size_t first, std::size_t last,
    const route_request& request, monotonic_time now)
{
    upstream_id_list usable;
    double shortestSeconds = 0;
    for (std::size_t at = first; at < last; ++at) {
        const route_candidate& candidate = map.upstreams()[from[at]];
        if (!isUsable(candidate, request, now))
            continue;
        usable.push_back(from[at]);
        const double mean = candidate.load.meanSeconds(now);
        if (mean > 0 && (shortestSeconds == 0 || mean < shortestSeconds))
            shortestSeconds = mean;
    }
    best_candidate best;
    if (usable.empty())
        return best;
    // The better of two random candidates: taking the best of all would make the entries flood one upstream.
    std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
    for (int choice = 0; choice < 2; ++choice)
        consider(best, map.upstreams()[usable[any(random)]], request, shortestSeconds, now);
    // All candidates that have cached a prefix of the prompt are compared as well.
    if (!request.prefixes.empty())
        for (upstream_id id : usable)
            if (cachedShare(map.upstreams()[id], request) > 0)
                consider(best, map.upstreams()[id], request, shortestSeconds, now);
    return best;
}

/// Searches a sample of the copies outside the subset, or all of them where none of the sample is usable.
best_candidate router::impl::pickOutsideSubset(
    const upstream_id_list& from, std::size_t subset, const route_request& request, monotonic_time now)
{
    const std::size_t outside = from.size() - subset;
    if (outside > outsideSampleSize) {
        const std::size_t first = std::uniform_int_distribution<std::size_t>(0, outside - 1)(random);
        upstream_id_list sample;
        for (std::size_t step = 0; step < outsideSampleSize; ++step)
            sample.push_back(from[subset + (first + step) % outside]);
        if (best_candidate best = pick(sample, 0, outsideSampleSize, request, now); best.candidate)
            return best;
    }
    return pick(from, subset, from.size(), request, now);
}

best_candidate router::impl::pickPreferringSubset(
    const upstream_id_list& from, const route_request& request, monotonic_time now)
{
    const std::size_t subset = std::min(from.size(), subsetSize);
    best_candidate best = pick(from, 0, subset, request, now);
    if (subset == from.size() || (best.candidate && !isFull(*best.candidate, request, now)))
        return best;
    const best_candidate outside = pickOutsideSubset(from, subset, request, now);
    return !best.candidate || (outside.candidate && outside.cost < best.cost) ? outside : best;
}

/// \return the upstream whose backoff ends first, or null where none accepts requests.
const route_candidate* router::impl::pickFirstAvailable(
    const upstream_id_list& from, const route_request& request) const
{
    const route_candidate* best = nullptr;
    for (upstream_id id : from) {
        const route_candidate& candidate = map.upstreams()[id];
        if (!candidate.acceptsRequests() || request.tried.contains(candidate.name))
            continue;
        if (!best || candidate.load.backoffUntil() < best->load.backoffUntil())
            best = &candidate;
    }
    return best;
}

bool router::impl::canLoad(const route_candidate& candidate, const load_requirement& requirement,
    const route_request& request, monotonic_time now) const
{
    const std::uint64_t memoryMb = requirement.mayEvict ? candidate.record.memoryMb : candidate.freeMemoryMb;
    return candidate.isConfigured && candidate.record.kind == upstream_kind::Engine
        && memoryMb >= requirement.memoryMb && isUsable(candidate, request, now);
}

/// Prefers the same engine for all requests for a model, so that it is loaded once and not for each of them.
best_candidate router::impl::pickForColdLoad(const upstream_id_list& preferred,
    const load_requirement& requirement, const route_request& request, monotonic_time now)
{
    for (upstream_id id : preferred)
        if (canLoad(map.upstreams()[id], requirement, request, now)
            && !isFull(map.upstreams()[id], request, now))
            return { &map.upstreams()[id], 0, false };
    best_candidate best;
    if (map.upstreams().empty())
        return best;
    std::uniform_int_distribution<std::size_t> any(0, map.upstreams().size() - 1);
    const std::size_t start = any(random);
    for (std::size_t step = 0; step < map.upstreams().size(); ++step) {
        if (step >= coldLoadSampleSize && best.candidate)
            break;
        const route_candidate& candidate = map.upstreams()[(start + step) % map.upstreams().size()];
        if (canLoad(candidate, requirement, request, now))
            consider(best, candidate, request, 0, now);
    }
    return best;
}

/// \return whether one of the upstreams leaves its backoff so soon that it answers sooner than an engine that
/// must load the model first.
bool router::impl::isAvailableSoon(
    const upstream_id_list& from, const route_request& request, monotonic_time now) const
{
    const route_candidate* first = pickFirstAvailable(from, request);
    return first && first->load.backoffUntil() - now < minBackoffForLoad;
}

/// Rejects the request. The caller may retry when the first backoff of the upstreams ends, or after
/// `noUpstreamRetryMs` where none of them accepts requests.
route_choice router::impl::reject(
    const upstream_id_list& candidates, const route_request& request, monotonic_time now) const
{
    const route_candidate* first = pickFirstAvailable(candidates, request);
    if (!first)
        return { "", "no_upstream", noUpstreamRetryMs };
    const auto wait = std::chrono::ceil<milliseconds>(first->load.backoffUntil() - now).count();
    return { "", "no_upstream", static_cast<std::uint32_t>(std::max<milliseconds::rep>(wait, 1)) };
}

route_choice router::impl::chooseModel(const route_request& request, monotonic_time now)
{
    const auto record = map.state().models.find(request.model);
    if (record == map.state().models.end())
        return { "", "unknown_model", 0 };
    const copy_set& copies = map.copiesOfModel(request.model);
    if (best_candidate best = pickPreferringSubset(copies.ready, request, now); best.candidate)
        return { best.candidate->name, best.hasPrefix ? "prefix" : "least_loaded", 0 };
    if (best_candidate best = pickPreferringSubset(copies.loading, request, now); best.candidate)
        return { best.candidate->name, "loading", 0 };
    if (best_candidate best = pickPreferringSubset(copies.unloaded, request, now); best.candidate)
        return { best.candidate->name, "placed", 0 };
    return chooseLoad(record->second, copies, request, now);
}

/// An adapter is loaded on an engine that has its base model, where there is one.
route_choice router::impl::chooseLoad(
    const model& wanted, const copy_set& copies, const route_request& request, monotonic_time now)
{
    std::uint64_t memoryMb = wanted.memoryMb;
    const auto base = map.state().models.find(wanted.base);
    const bool hasBase = base != map.state().models.end();
    if (hasBase) {
        const copy_set& bases = map.copiesOfModel(base->first);
        for (const upstream_id_list* from : { &bases.ready, &bases.loading })
            if (best_candidate best = pickPreferringSubset(*from, request, now); best.candidate)
                return { best.candidate->name, "adapter_load", 0 };
        memoryMb += base->second.memoryMb;
    }
    if (!request.mayLoad)
        return { "", "model_loading", noUpstreamRetryMs };
    if (isAvailableSoon(copies.ready, request, now))
        return reject(copies.ready, request, now);
    const upstream_id_list& preferred = map.coldLoadEngines(hasBase ? base->first : wanted.name);
    // Where no engine has enough free memory, a side process may still evict unused models; it rejects the
    // request if it cannot.
    for (const bool mayEvict : { false, true })
        if (best_candidate best = pickForColdLoad(preferred, { memoryMb, mayEvict }, request, now);
            best.candidate)
            return { best.candidate->name, "cold_load", 0 };
    return reject(copies.ready, request, now);
}

route_choice router::impl::chooseService(const route_request& request, monotonic_time now)
{
    const copy_set& instances = map.instancesOfService(request.service);
    if (best_candidate best = pickPreferringSubset(instances.ready, request, now); best.candidate)
        return { best.candidate->name, "least_loaded", 0 };
    return reject(instances.ready, request, now);
}

router::router(std::string region, std::string zone, std::uint64_t seed)
    : m_impl(std::make_unique<impl>(std::move(region), std::move(zone), seed))
{
}

router::~router() = default;

void router::update(fleet_state_ptr state)
{
    m_impl->map.update(std::move(state));
}

route_choice router::choose(const route_request& request, monotonic_time now)
{
    if (now >= request.deadline)
        return { "", "deadline", 0 };
    return request.service.empty() ? m_impl->chooseModel(request, now) : m_impl->chooseService(request, now);
}

void router::onSent(const std::string& upstream, double tokens, monotonic_time now)
{
    if (route_candidate* candidate = m_impl->map.find(upstream))
        candidate->load.onSent(tokens, now);
}

void router::onDone(const std::string& upstream, double tokens, bool failed, monotonic_time now)
{
    if (route_candidate* candidate = m_impl->map.find(upstream))
        candidate->load.onDone(tokens, failed, now);
}

void router::onDeadlinePassed(
    const std::string& upstream, double tokens, monotonic_time sentAt, monotonic_time now)
{
    if (route_candidate* candidate = m_impl->map.find(upstream))
        candidate->load.onDeadlinePassed(tokens, sentAt, now);
}

void router::onReport(const load_report& report, monotonic_time now)
{
    m_impl->map.onReport(report);
    m_impl->map.findOrAdd(report.upstream).load.onReport(report, now);
}

void router::onLink(const std::string& upstream, bool up, monotonic_time now)
{
    route_candidate& candidate = m_impl->map.findOrAdd(upstream);
    candidate.linkDown = !up;
    if (up)
        candidate.load.onLinkUp(now);
}

void router::onLeaving(const std::string& upstream)
{
    m_impl->map.findOrAdd(upstream).leaving = true;
}

} // namespace sagesaddle
