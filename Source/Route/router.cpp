#include "Route/router.h"

#include "Route/copy_map.h"

#include <algorithm>
#include <random>

namespace sagesaddle {

namespace {

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
/// Upstreams looked at for a cold load before all are.
constexpr std::size_t coldSample = 64;
/// A copy that is eased off for less than this is waited for rather than loaded elsewhere.
constexpr milliseconds loadWorthAfter { 1000 };

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

/// \brief The candidate that a search has found so far.
struct best_candidate {
    const route_candidate* value { nullptr };
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
    impl(std::string region, std::string zone, std::uint64_t seed)
        : map(std::move(region), std::move(zone), seed)
        , random(seed)
    {
    }

    copy_map map;
    std::mt19937_64 random;

    bool usable(const route_candidate& value, const route_request& request, monotonic_time now) const;
    bool isFull(const route_candidate& value, const route_request& request, monotonic_time now) const;
    double cachedShare(const route_candidate& value, const route_request& request) const;
    void consider(best_candidate& best, const route_candidate& value, const route_request& request,
        double bestSeconds, monotonic_time now) const;
    best_candidate pick(const upstream_id_list& from, std::size_t first, std::size_t last,
        const route_request& request, monotonic_time now);
    best_candidate pickBeyond(
        const upstream_id_list& from, std::size_t near, const route_request& request, monotonic_time now);
    best_candidate pickReady(const upstream_id_list& from, const route_request& request, monotonic_time now);
    const route_candidate* pickEased(const upstream_id_list& from, const route_request& request) const;
    bool mayLoadOn(const route_candidate& value, const load_need& need, const route_request& request,
        monotonic_time now) const;
    best_candidate pickCold(const upstream_id_list& preferred, const load_need& need,
        const route_request& request, monotonic_time now);
    bool comesBackSoon(const upstream_id_list& from, const route_request& request, monotonic_time now) const;
    route_choice chooseModel(const route_request& request, monotonic_time now);
    route_choice chooseLoad(
        const model& wanted, const copy_set& copies, const route_request& request, monotonic_time now);
    route_choice chooseService(const route_request& request, monotonic_time now);
    route_choice refuse(
        const upstream_id_list& eased, const route_request& request, monotonic_time now) const;
};

bool router::impl::usable(
    const route_candidate& value, const route_request& request, monotonic_time now) const
{
    return value.acceptsRequests() && value.load.available(now) && !request.tried.contains(value.name);
}

bool router::impl::isFull(
    const route_candidate& value, const route_request& request, monotonic_time now) const
{
    const double share = request.priority == priority::Batch ? batchFullShare : 1;
    return value.load.requests(now) >= share * value.slots();
}

double router::impl::cachedShare(const route_candidate& value, const route_request& request) const
{
    for (std::size_t at = request.prefixes.size(); at > 0; --at)
        if (std::binary_search(value.prefixes.begin(), value.prefixes.end(), request.prefixes[at - 1]))
            return static_cast<double>(at) / static_cast<double>(request.prefixes.size());
    return 0;
}

void router::impl::consider(best_candidate& best, const route_candidate& value, const route_request& request,
    double bestSeconds, monotonic_time now) const
{
    const double mean = value.load.meanSeconds(now);
    const double slowness = bestSeconds > 0 && mean > slowFactor * bestSeconds ? mean / bestSeconds : 1;
    const double cached = cachedShare(value, request);
    double cost = (1 + value.load.requests(now) / value.slots()) * slowness;
    cost *= (1 + costOf(value.distance)) * (1 + value.load.failureRatio());
    cost *= 1 - prefixSaving * cached;
    if (!best.value || cost < best.cost)
        best = { &value, cost, cached > 0 };
}

best_candidate router::impl::pick(const upstream_id_list& from, std::size_t first, std::size_t last,
    const route_request& request, monotonic_time now)
{
    upstream_id_list open;
    double bestSeconds = 0;
    for (std::size_t at = first; at < last; ++at) {
        const route_candidate& value = map.upstreams()[from[at]];
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
        consider(best, map.upstreams()[open[any(random)]], request, bestSeconds, now);
    if (!request.prefixes.empty())
        for (upstream_id id : open)
            if (cachedShare(map.upstreams()[id], request) > 0)
                consider(best, map.upstreams()[id], request, bestSeconds, now);
    return best;
}

/// Looks at some of the copies beyond the subset, and at all of them where none of those takes work.
best_candidate router::impl::pickBeyond(
    const upstream_id_list& from, std::size_t near, const route_request& request, monotonic_time now)
{
    const std::size_t beyond = from.size() - near;
    if (beyond > widerSize) {
        const std::size_t first = std::uniform_int_distribution<std::size_t>(0, beyond - 1)(random);
        upstream_id_list some;
        for (std::size_t step = 0; step < widerSize; ++step)
            some.push_back(from[near + (first + step) % beyond]);
        if (best_candidate best = pick(some, 0, widerSize, request, now); best.value)
            return best;
    }
    return pick(from, near, from.size(), request, now);
}

best_candidate router::impl::pickReady(
    const upstream_id_list& from, const route_request& request, monotonic_time now)
{
    const std::size_t near = std::min(from.size(), subsetSize);
    best_candidate best = pick(from, 0, near, request, now);
    if (near == from.size() || (best.value && !isFull(*best.value, request, now)))
        return best;
    const best_candidate wider = pickBeyond(from, near, request, now);
    return !best.value || (wider.value && wider.cost < best.cost) ? wider : best;
}

const route_candidate* router::impl::pickEased(
    const upstream_id_list& from, const route_request& request) const
{
    const route_candidate* best = nullptr;
    for (upstream_id id : from) {
        const route_candidate& value = map.upstreams()[id];
        if (!value.acceptsRequests() || request.tried.contains(value.name))
            continue;
        if (!best || value.load.backoffUntil() < best->load.backoffUntil())
            best = &value;
    }
    return best;
}

bool router::impl::mayLoadOn(const route_candidate& value, const load_need& need,
    const route_request& request, monotonic_time now) const
{
    const std::uint64_t memoryMb = need.byEviction ? value.record.memoryMb : value.freeMemoryMb;
    return value.isConfigured && value.record.kind == upstream_kind::Engine && memoryMb >= need.memoryMb
        && usable(value, request, now);
}

/// Requests for one model meet on one engine, so that it is loaded once and not by each of them.
best_candidate router::impl::pickCold(const upstream_id_list& preferred, const load_need& need,
    const route_request& request, monotonic_time now)
{
    for (upstream_id id : preferred)
        if (mayLoadOn(map.upstreams()[id], need, request, now) && !isFull(map.upstreams()[id], request, now))
            return { &map.upstreams()[id], 0, false };
    best_candidate best;
    if (map.upstreams().empty())
        return best;
    std::uniform_int_distribution<std::size_t> any(0, map.upstreams().size() - 1);
    const std::size_t start = any(random);
    for (std::size_t step = 0; step < map.upstreams().size(); ++step) {
        if (step >= coldSample && best.value)
            break;
        const route_candidate& value = map.upstreams()[(start + step) % map.upstreams().size()];
        if (mayLoadOn(value, need, request, now))
            consider(best, value, request, 0, now);
    }
    return best;
}

/// A copy that is only eased off for a moment answers sooner than one that must be loaded.
bool router::impl::comesBackSoon(
    const upstream_id_list& from, const route_request& request, monotonic_time now) const
{
    const route_candidate* soonest = pickEased(from, request);
    return soonest && soonest->load.backoffUntil() - now < loadWorthAfter;
}

route_choice router::impl::refuse(
    const upstream_id_list& eased, const route_request& request, monotonic_time now) const
{
    const route_candidate* soonest = pickEased(eased, request);
    if (!soonest)
        return { "", "no_upstream", noUpstreamRetryMs };
    const auto wait = std::chrono::ceil<milliseconds>(soonest->load.backoffUntil() - now).count();
    return { "", "no_upstream", static_cast<std::uint32_t>(std::max<milliseconds::rep>(wait, 1)) };
}

route_choice router::impl::chooseModel(const route_request& request, monotonic_time now)
{
    const auto record = map.state().models.find(request.model);
    if (record == map.state().models.end())
        return { "", "unknown_model", 0 };
    const copy_set& copies = map.copiesOfModel(request.model);
    if (best_candidate best = pickReady(copies.ready, request, now); best.value)
        return { best.value->name, best.byPrefix ? "prefix" : "least_loaded", 0 };
    if (best_candidate best = pickReady(copies.loading, request, now); best.value)
        return { best.value->name, "loading", 0 };
    if (best_candidate best = pickReady(copies.unloaded, request, now); best.value)
        return { best.value->name, "placed", 0 };
    return chooseLoad(record->second, copies, request, now);
}

/// An adapter's engine is the one that its base is loaded on.
route_choice router::impl::chooseLoad(
    const model& wanted, const copy_set& copies, const route_request& request, monotonic_time now)
{
    std::uint64_t memoryMb = wanted.memoryMb;
    const auto base = map.state().models.find(wanted.base);
    const bool hasBase = base != map.state().models.end();
    if (hasBase) {
        const copy_set& bases = map.copiesOfModel(base->first);
        for (const upstream_id_list* from : { &bases.ready, &bases.loading })
            if (best_candidate best = pickReady(*from, request, now); best.value)
                return { best.value->name, "adapter_load", 0 };
        memoryMb += base->second.memoryMb;
    }
    if (!request.mayLoad)
        return { "", "model_loading", noUpstreamRetryMs };
    if (comesBackSoon(copies.ready, request, now))
        return refuse(copies.ready, request, now);
    const upstream_id_list& homes = map.coldLoadEngines(hasBase ? base->first : wanted.name);
    // Without free memory anywhere a side process may still evict what nobody uses, and else says so.
    for (const bool byEviction : { false, true })
        if (best_candidate best = pickCold(homes, { memoryMb, byEviction }, request, now); best.value)
            return { best.value->name, "cold_load", 0 };
    return refuse(copies.ready, request, now);
}

route_choice router::impl::chooseService(const route_request& request, monotonic_time now)
{
    const copy_set& instances = map.instancesOfService(request.service);
    if (best_candidate best = pickReady(instances.ready, request, now); best.value)
        return { best.value->name, "least_loaded", 0 };
    return refuse(instances.ready, request, now);
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
    if (route_candidate* value = m_impl->map.find(upstream))
        value->load.onSent(tokens, now);
}

void router::onDone(const std::string& upstream, double tokens, bool failed, monotonic_time now)
{
    if (route_candidate* value = m_impl->map.find(upstream))
        value->load.onDone(tokens, failed, now);
}

void router::onDeadlinePassed(
    const std::string& upstream, double tokens, monotonic_time sentAt, monotonic_time now)
{
    if (route_candidate* value = m_impl->map.find(upstream))
        value->load.onDeadlinePassed(tokens, sentAt, now);
}

void router::onReport(const load_report& report, monotonic_time now)
{
    m_impl->map.onReport(report);
    m_impl->map.findOrAdd(report.upstream).load.onReport(report, now);
}

void router::onLink(const std::string& upstream, bool up, monotonic_time now)
{
    route_candidate& value = m_impl->map.findOrAdd(upstream);
    value.linkDown = !up;
    if (up)
        value.load.onLinkUp(now);
}

void router::onLeaving(const std::string& upstream)
{
    m_impl->map.findOrAdd(upstream).leaving = true;
}

} // namespace sagesaddle
