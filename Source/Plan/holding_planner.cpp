#include "Plan/holding_planner.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sagesaddle {

namespace {

// Span over which demand is averaged; short against the shifts of demand, long against gaps between requests.
constexpr double demandSeconds = 2.5;
// Time without a request after which an adapter, or a model's last copy, may be dropped.
constexpr seconds idleAdapter { 2 };
constexpr seconds idleModel { 6 };
// Part of the weight store's rate that is used; late orders and other holders' loads have the rest.
constexpr double loadShare = 0.7;
// Loads that may be saved up.
constexpr double loadBurst = 2;
// Part of the slots in use on all of a model's engines from which a further copy is loaded.
constexpr double fullEnough = 0.45;
// Least demand, in requests a second, that pays for a further copy.
constexpr double leastCopyDemand = 2;

} // namespace

void demand_meter::onRequests(
    const std::string& holding, double requests, double unplaced, monotonic_time now)
{
    const holding_demand known = of(holding, now);
    m_demands[holding] = { known.requestsPerSecond + requests / demandSeconds,
        known.unplacedPerSecond + unplaced / demandSeconds, now };
}

holding_demand demand_meter::of(const std::string& holding, monotonic_time now) const
{
    const auto found = m_demands.find(holding);
    if (found == m_demands.end())
        return {};
    const double fade
        = std::exp(-std::max(0.0, secondsBetween(found->second.lastAsked, now)) / demandSeconds);
    return { found->second.requestsPerSecond * fade, found->second.unplacedPerSecond * fade,
        found->second.lastAsked };
}

/// One pass over the engines: what was planned in it counts as done.
struct holding_planner::pass {
    const std::vector<engine_sight>& engines;
    const engine_config& config;
    const demand_meter& demand;
    monotonic_time now;
    std::vector<planned_order> orders;
    std::set<std::string> ordered;

    bool isFree(const engine_sight& engine) const
    {
        return !engine.isDraining && engine.book->mayOrder(now) && !ordered.contains(engine.book->upstream());
    }

    int copies(const std::string& holding) const
    {
        return static_cast<int>(std::count_if(engines.begin(), engines.end(),
            [&](const engine_sight& engine) { return !engine.isDraining && engine.book->mayHold(holding); }));
    }

    bool isIdle(const std::string& holding, monotonic_span span) const
    {
        const auto known = demand.of(holding, now);
        return known.lastAsked == monotonic_time {} || now - known.lastAsked >= span;
    }

    void order(const engine_sight& engine, engine_order::action what, const std::string& model,
        const std::string& adapter)
    {
        orders.push_back({ engine.book->upstream(), what, model, adapter });
        ordered.insert(engine.book->upstream());
    }

    /// \return the adapter that is easiest to do without there, where one may be dropped.
    std::optional<std::string> adapterToDrop(const engine_sight& engine) const
    {
        std::optional<std::string> best;
        double least = 0;
        for (const auto& holding : engine.book->held()) {
            if (holding.find('/') == std::string::npos)
                continue;
            const bool hasOther = copies(holding) > 1;
            if (!hasOther && !isIdle(holding, idleAdapter))
                continue;
            const double cost = demand.of(holding, now).requestsPerSecond / (hasOther ? 2 : 1);
            if (!best || cost < least) {
                best = holding;
                least = cost;
            }
        }
        return best;
    }

    void placeAdapter(const std::string& model, const std::string& adapter, bool mayDrop)
    {
        const engine_sight* best = nullptr;
        for (const auto& engine : engines) {
            if (!isFree(engine) || !engine.book->holds(model))
                continue;
            const bool hasPlace = engine.book->freeAdapterPlaces() > 0;
            if (!hasPlace && !(mayDrop && adapterToDrop(engine)))
                continue;
            if (best == nullptr || engine.book->freeAdapterPlaces() > best->book->freeAdapterPlaces())
                best = &engine;
        }
        if (best == nullptr)
            return;
        if (best->book->freeAdapterPlaces() > 0) {
            order(*best, engine_order::action::Load, model, adapter);
            return;
        }
        const std::string dropped = *adapterToDrop(*best);
        const std::size_t slash = dropped.find('/');
        order(*best, engine_order::action::Unload, dropped.substr(0, slash), dropped.substr(slash + 1));
    }

    void placeAdapters(bool wantedOnly)
    {
        for (const auto& model : config.models) {
            for (int index = 1; index <= model.adapters; ++index) {
                const std::string adapter = "a" + std::to_string(index);
                const std::string name = holdingName(model.name, adapter);
                const bool isWanted
                    = demand.of(name, now).unplacedPerSecond > 0 && !isIdle(name, idleAdapter);
                if ((wantedOnly && !isWanted) || copies(name) > 0)
                    continue;
                placeAdapter(model.name, adapter, isWanted);
            }
        }
    }

    /// Loads a model where it fits, or makes room for it first.
    /// \return whether a load was ordered
    bool placeModel(const model_config& model)
    {
        const engine_sight* roomy = nullptr;
        for (const auto& engine : engines) {
            if (isFree(engine) && !engine.book->mayHold(model.name)
                && engine.book->freeWeightsMb() >= model.weightsMb
                && (roomy == nullptr || engine.inFlight < roomy->inFlight))
                roomy = &engine;
        }
        if (roomy != nullptr) {
            order(*roomy, engine_order::action::Load, model.name, {});
            return true;
        }
        makeRoom(model);
        return false;
    }

    void makeRoom(const model_config& model)
    {
        const engine_sight* where = nullptr;
        std::string victim;
        double least = 0;
        for (const auto& engine : engines) {
            if (!isFree(engine) || engine.book->mayHold(model.name))
                continue;
            for (const auto& held : config.models) {
                if (!engine.book->holds(held.name)
                    || engine.book->freeWeightsMb() + held.weightsMb < model.weightsMb)
                    continue;
                const int others = copies(held.name) - 1;
                if (others < 1)
                    continue;
                // What the model's other engines would have to take over.
                const double cost = demand.of(held.name, now).requestsPerSecond / others
                    + static_cast<double>(engine.inFlight) / std::max(engine.slots, 1);
                if (where == nullptr || cost < least) {
                    where = &engine;
                    victim = held.name;
                    least = cost;
                }
            }
        }
        if (where != nullptr && least < demand.of(model.name, now).requestsPerSecond / 2 + 0.5)
            order(*where, engine_order::action::Unload, victim, {});
    }

    /// \return the model whose copies are fullest, where one more would pay.
    const model_config* modelToCopy() const
    {
        const model_config* best = nullptr;
        double most = 0;
        for (const auto& model : config.models) {
            const auto known = demand.of(model.name, now);
            if (known.requestsPerSecond < leastCopyDemand)
                continue;
            double leastFull = 1e9;
            int ready = 0;
            bool isComing = false;
            for (const auto& engine : engines) {
                if (engine.isDraining)
                    continue;
                isComing = isComing || (engine.book->mayHold(model.name) && !engine.book->holds(model.name));
                if (!engine.book->holds(model.name))
                    continue;
                ++ready;
                leastFull
                    = std::min(leastFull, static_cast<double>(engine.inFlight) / std::max(engine.slots, 1));
            }
            const bool isShort
                = leastFull >= fullEnough || known.unplacedPerSecond > known.requestsPerSecond * 0.1;
            const double perCopy = known.requestsPerSecond / std::max(ready, 1);
            if (ready > 0 && !isComing && isShort && perCopy > most) {
                best = &model;
                most = perCopy;
            }
        }
        return best;
    }
};

holding_planner::holding_planner(double loadsPerSecond)
    : m_loadsPerSecond(loadsPerSecond)
{
}

bool holding_planner::mayLoadModel(monotonic_time now)
{
    if (m_allowedAt != monotonic_time {})
        m_loadAllowance = std::min(loadBurst,
            m_loadAllowance + m_loadsPerSecond * loadShare * std::max(0.0, secondsBetween(m_allowedAt, now)));
    m_allowedAt = now;
    return m_loadAllowance >= 1;
}

void holding_planner::onModelOrdered(monotonic_time now)
{
    mayLoadModel(now);
    m_loadAllowance -= 1;
}

std::vector<planned_order> holding_planner::plan(const std::vector<engine_sight>& engines,
    const engine_config& config, const demand_meter& demand, monotonic_time now)
{
    pass current { engines, config, demand, now, {}, {} };
    current.placeAdapters(true);
    double allowance = mayLoadModel(now) ? m_loadAllowance : 0;
    for (const auto& model : config.models) {
        if (allowance >= 1 && current.copies(model.name) == 0 && current.placeModel(model))
            allowance -= 1;
    }
    if (allowance >= 1) {
        if (const model_config* model = current.modelToCopy())
            current.placeModel(*model);
    }
    current.placeAdapters(false);
    return std::move(current.orders);
}

} // namespace sagesaddle
