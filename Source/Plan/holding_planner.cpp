#include "Plan/holding_planner.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <string_view>
#include <unordered_map>

namespace sagesaddle {

namespace {

// Span over which demand is averaged; short against the shifts of demand, long against gaps between requests.
constexpr double demandSeconds = 2.0;
// Time without a request after which an adapter's last copy may be dropped.
constexpr seconds idleAdapter { 2 };
// Part of the weight store's rate that is used; late orders and other holders' loads have the rest.
constexpr double loadShare = 0.85;
// Loads that may be saved up: so many, and those of this time. With the part of the rate they stay within
// what the weight store's bound allows in five seconds.
constexpr double leastLoadBurst = 1.5;
constexpr double loadBurstSeconds = 1;
// Engines that may stand with room for a model at once, beyond the loads that are allowed now.
constexpr int roomsAhead = 2;
// Copies for each engine that the demand is spread over: over one, so that requests have a choice.
constexpr double copiesPerEngine = 1.5;
// How many more copies are kept than would be loaded, so that copies do not come and go with the demand's
// noise.
constexpr double keepFactor = 1.35;
// Engines on which a model should lie within a second or two of serving: held, or in the host's memory or on
// its disk. A host's disk has some six models, about twice what its engine holds.
constexpr int nearEngines = 4;
// One engine of so many may load ahead of demand: while it does, it takes no order for an adapter.
constexpr int enginesPerSpread = 6;
// Loads that stay saved up for demand while models are spread ahead of it, as a part of those that may be.
constexpr double savedPart = 0.6;
// Requests a second that a copy should at least serve.
constexpr double requestsPerCopy = 1.5;
// Requests a second for each copy from which an adapter is put into a further free place.
constexpr double adapterCopyDemand = 0.3;
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
///
/// What each engine has and how often each holding is there are looked up once, so that a pass costs in
/// proportion to the engines and the holdings rather than to their product.
struct holding_planner::pass {
    /// An engine with what the pass asks of its book again and again.
    struct engine_view {
        const engine_sight* sight { nullptr };
        /// Models that it holds, ready for use.
        std::vector<const model_config*> models;
        std::vector<std::string> adapters;
        int freeAdapterPlaces { 0 };
        double freeWeightsMb { 0 };
        double freeWeightsSoonMb { 0 };
        /// May still get an order in this pass.
        bool isFree { false };

        const engine_book& book() const { return *sight->book; }
    };

    pass(const std::vector<engine_sight>& sights, const engine_config& engineConfig,
        const demand_meter& demandMeter, monotonic_time at)
        : config(engineConfig)
        , demand(demandMeter)
        , now(at)
    {
        std::unordered_map<std::string_view, const model_config*> models;
        for (const auto& model : config.models) {
            models.emplace(model.name, &model);
            modelDemand[&model] = demand.of(model.name, now).requestsPerSecond;
            total += modelDemand[&model];
        }
        engines.reserve(sights.size());
        for (const auto& sight : sights)
            engines.push_back(viewOf(sight, models));
    }

    const engine_config& config;
    const demand_meter& demand;
    monotonic_time now;
    std::vector<engine_view> engines;
    std::vector<planned_holding> orders;
    /// Engines that hold or may come to hold something, by its name.
    std::unordered_map<std::string, int> copyCounts;
    std::unordered_map<std::string, int> nearCounts;
    /// Engines that hold a model, ready for use.
    std::unordered_map<const model_config*, int> readyCounts;
    /// Requests a second for each model, and for all together.
    std::unordered_map<const model_config*, double> modelDemand;
    double total { 0 };

    engine_view viewOf(
        const engine_sight& sight, const std::unordered_map<std::string_view, const model_config*>& models)
    {
        const engine_book& book = *sight.book;
        engine_view view { &sight, {}, {}, book.freeAdapterPlaces(), book.freeWeightsMb(),
            book.freeWeightsSoonMb(), !sight.isDraining && book.maySendOrders() };
        for (const auto& holding : book.held()) {
            if (isAdapterRef(holding)) {
                view.adapters.push_back(holding);
                continue;
            }
            const auto model = models.find(holding);
            if (model != models.end())
                view.models.push_back(model->second);
        }
        if (sight.isDraining)
            return view;
        for (const model_config* model : view.models)
            ++readyCounts[model];
        for (const auto& holding : book.possible()) {
            ++copyCounts[holding];
            if (!isAdapterRef(holding))
                ++nearCounts[holding];
        }
        for (const auto& model : book.hostCached()) {
            if (!book.mayHold(model))
                ++nearCounts[model];
        }
        return view;
    }

    int copies(const std::string& holding) const
    {
        const auto found = copyCounts.find(holding);
        return found == copyCounts.end() ? 0 : found->second;
    }

    bool isIdle(const std::string& holding, monotonic_duration span) const
    {
        const auto known = demand.of(holding, now);
        return known.lastAsked == monotonic_time {} || now - known.lastAsked >= span;
    }

    void order(
        engine_view& engine, model_order::action what, const std::string& model, const std::string& adapter)
    {
        orders.push_back({ engine.book().upstream(), what, model, adapter });
        engine.isFree = false;
        copyCounts[formatModelRef(model, adapter)] += what == model_order::action::Load ? 1 : -1;
    }

    /// \return the adapter that is easiest to do without there, where one may be dropped.
    std::optional<std::string> adapterToDrop(const engine_view& engine) const
    {
        std::optional<std::string> best;
        double least = 0;
        for (const auto& holding : engine.adapters) {
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

    static bool holdsModel(const engine_view& engine, const model_config& model)
    {
        return std::find(engine.models.begin(), engine.models.end(), &model) != engine.models.end();
    }

    /// \return whether an adapter goes to an engine rather than to another one.
    static bool isBetterPlace(const engine_view& engine, const engine_view& other)
    {
        return std::pair(-engine.freeAdapterPlaces, engine.sight->inFlight)
            < std::pair(-other.freeAdapterPlaces, other.sight->inFlight);
    }

    void placeAdapter(const model_config& model, const std::string& adapter, bool mayDrop)
    {
        engine_view* best = nullptr;
        for (auto& engine : engines) {
            if (!engine.isFree || !holdsModel(engine, model))
                continue;
            if (engine.freeAdapterPlaces <= 0 && !(mayDrop && adapterToDrop(engine)))
                continue;
            if (best == nullptr || isBetterPlace(engine, *best))
                best = &engine;
        }
        if (best == nullptr)
            return;
        if (best->freeAdapterPlaces > 0) {
            order(*best, model_order::action::Load, model.name, adapter);
            return;
        }
        const model_ref victim = parseModelRef(*adapterToDrop(*best));
        order(*best, model_order::action::Unload, victim.model, victim.adapter);
    }

    void placeAdapters(bool wantedOnly)
    {
        for (const auto& model : config.models) {
            for (int index = 1; index <= model.adapterCount; ++index) {
                const std::string adapter = "a" + std::to_string(index);
                const std::string name = formatModelRef(model.name, adapter);
                if (copies(name) > 0)
                    continue;
                const bool isWanted
                    = demand.of(name, now).unplacedPerSecond > 0 && !isIdle(name, idleAdapter);
                if (wantedOnly && !isWanted)
                    continue;
                placeAdapter(model, adapter, isWanted);
            }
        }
    }

    /// \return engines that hold a model, or could load it without the weight store.
    int near(const std::string& model) const
    {
        const auto found = nearCounts.find(model);
        return found == nearCounts.end() ? 0 : found->second;
    }

    /// Loads a model that lies near on the fewest engines where it does not yet, ahead of any demand for it.
    /// \param saved loads that stay saved up for demand
    void spreadModels(double allowance, double saved)
    {
        const auto loading = std::count_if(engines.begin(), engines.end(),
            [](const engine_view& engine) { return engine.book().isLoading(); });
        if (allowance < 1 + saved
            || loading >= std::max<std::ptrdiff_t>(1, std::ssize(engines) / enginesPerSpread))
            return;
        const model_config* rarest = nullptr;
        int fewest = std::min(nearEngines, static_cast<int>(engines.size()));
        for (const auto& model : config.models) {
            const int count = near(model.name);
            if (count < fewest) {
                fewest = count;
                rarest = &model;
            }
        }
        if (rarest == nullptr)
            return;
        engine_view* const where = engineWithRoom(*rarest, false);
        if (where != nullptr)
            order(*where, model_order::action::Load, rarest->name, {});
        else if (total > 0)
            makeRoom(*rarest, 0, false);
    }

    /// \return the least loaded engine that could load a model now, or nullptr.
    /// \param isAtHand whether its weights are to lie there already
    engine_view* engineWithRoom(const model_config& model, bool isAtHand)
    {
        engine_view* best = nullptr;
        for (auto& engine : engines) {
            if (!engine.isFree || engine.freeWeightsMb < model.weightsMb
                || engine.book().isAtHand(model.name) != isAtHand || engine.book().mayHold(model.name))
                continue;
            if (best == nullptr
                || engine.sight->inFlight * best->sight->slots < best->sight->inFlight * engine.sight->slots)
                best = &engine;
        }
        return best;
    }

    static bool hasRoomSoon(const engine_view& engine, const model_config& model)
    {
        return !engine.sight->isDraining && engine.freeWeightsSoonMb >= model.weightsMb
            && !engine.book().isLoading();
    }

    /// \return whether room for a model is on its way where its weights lie.
    bool isRoomComingAtHand(const model_config& model) const
    {
        return std::any_of(engines.begin(), engines.end(), [&](const engine_view& engine) {
            return hasRoomSoon(engine, model) && engine.book().isAtHand(model.name)
                && !engine.book().mayHold(model.name);
        });
    }

    /// Loads a model where it fits, or makes room for it first. A load from the weight store takes several
    /// times as long as dropping another model and loading what lies at hand.
    /// \param allowance loads from the weight store that may begin now; less one where this begins one
    /// \return whether a load was ordered
    bool placeModel(const model_config& model, double& allowance)
    {
        if (engine_view* const hostCached = engineWithRoom(model, true)) {
            order(*hostCached, model_order::action::Load, model.name, {});
            return true;
        }
        if (isRoomComingAtHand(model) || makeRoom(model, 0, true))
            return false;
        engine_view* const far = allowance >= 1 ? engineWithRoom(model, false) : nullptr;
        if (far == nullptr) {
            makeRoom(model, allowance, false);
            return false;
        }
        allowance -= 1;
        order(*far, model_order::action::Load, model.name, {});
        return true;
    }

    /// Loads copies of the models that lack some, the one with most requests for each copy first; what is
    /// ordered counts as a copy, so that a model that everybody asks for gets several loads before others get
    /// one.
    void copyModels(double& allowance)
    {
        using lack = std::pair<double, const model_config*>;
        std::priority_queue<lack> lacking;
        const auto add = [&](const model_config& model) {
            const int have = copies(model.name);
            if (have < desiredCopies(model, 1))
                lacking.emplace(modelDemand.at(&model) / std::max(have, 1), &model);
        };
        for (const auto& model : config.models)
            add(model);
        while (!lacking.empty()) {
            const model_config* const model = lacking.top().second;
            lacking.pop();
            if (placeModel(*model, allowance))
                add(*model);
        }
    }

    /// \return engines that have room for a model, or will have it soon.
    int rooms(const model_config& model) const
    {
        return static_cast<int>(std::count_if(engines.begin(), engines.end(),
            [&](const engine_view& engine) { return hasRoomSoon(engine, model); }));
    }

    int readyCopies(const model_config& model) const
    {
        const auto found = readyCounts.find(&model);
        return found == readyCounts.end() ? 0 : found->second;
    }

    /// Drops a copy of another model that has one too many. Copies that are still on their way take seconds
    /// and serve nobody before: only those that are ready count.
    /// \param onlyAtHand only where the model's own weights lie
    /// \return whether an order was given for it
    bool makeRoom(const model_config& model, double allowance, bool onlyAtHand)
    {
        if (!onlyAtHand && rooms(model) >= roomsAhead + static_cast<int>(allowance))
            return false;
        const double own = modelDemand.at(&model) / std::max(copies(model.name), 1);
        engine_view* where = nullptr;
        const model_config* victim = nullptr;
        double most = 0;
        for (auto& engine : engines) {
            if (!engine.isFree || (onlyAtHand && !engine.book().isAtHand(model.name))
                || engine.book().mayHold(model.name))
                continue;
            for (const model_config* held : engine.models) {
                const int ready = readyCopies(*held);
                if (engine.freeWeightsMb + held->weightsMb < model.weightsMb || ready < 2)
                    continue;
                const int spare = ready - desiredCopies(*held, keepFactor);
                const double lost = modelDemand.at(held) / (ready - 1);
                if (spare < 1 && lost >= own)
                    continue;
                const double gain = spare + 1.0
                    - static_cast<double>(engine.sight->inFlight) / std::max(engine.sight->slots, 1);
                if (where == nullptr || gain > most) {
                    where = &engine;
                    victim = held;
                    most = gain;
                }
            }
        }
        if (where == nullptr)
            return false;
        order(*where, model_order::action::Unload, victim->name, {});
        --readyCounts[victim];
        return true;
    }

    /// \return copies that a model's part of the demand asks for.
    int desiredCopies(const model_config& model, double factor) const
    {
        const double own = modelDemand.at(&model);
        if (own < leastCopyDemand || total <= 0)
            return 1;
        const double engineCount = static_cast<double>(engines.size());
        const double wanted = std::min(engineCount * copiesPerEngine * own / total, own / requestsPerCopy);
        return std::clamp(static_cast<int>(std::ceil(wanted * factor)), 1, static_cast<int>(engines.size()));
    }

    /// An adapter whose copies serve more requests than they should.
    struct busy_adapter {
        const model_config* model { nullptr };
        std::string adapter;
        std::string name;
        double requestsPerSecond { 0 };
    };

    double requestsPerCopyOf(const busy_adapter& busy) const
    {
        return busy.requestsPerSecond / std::max(copies(busy.name), 1);
    }

    std::vector<busy_adapter> busyAdapters() const
    {
        std::vector<busy_adapter> busy;
        for (const auto& model : config.models) {
            for (int index = 1; index <= model.adapterCount; ++index) {
                const std::string adapter = "a" + std::to_string(index);
                const std::string name = formatModelRef(model.name, adapter);
                busy_adapter item { &model, adapter, name, demand.of(name, now).requestsPerSecond };
                if (requestsPerCopyOf(item) > adapterCopyDemand)
                    busy.push_back(std::move(item));
            }
        }
        return busy;
    }

    /// Puts further copies of the adapters that are asked for most into free places, as many as their
    /// requests ask for.
    void copyAdapters()
    {
        std::vector<busy_adapter> busy = busyAdapters();
        if (busy.empty())
            return;
        std::vector<engine_view*> places;
        for (auto& engine : engines) {
            if (engine.isFree && engine.freeAdapterPlaces > 0)
                places.push_back(&engine);
        }
        std::stable_sort(places.begin(), places.end(),
            [](const engine_view* one, const engine_view* other) { return isBetterPlace(*one, *other); });
        for (engine_view* const engine : places) {
            const busy_adapter* best = nullptr;
            for (const auto& item : busy) {
                if ((best == nullptr || requestsPerCopyOf(item) > requestsPerCopyOf(*best))
                    && holdsModel(*engine, *item.model) && !engine->book().mayHold(item.name))
                    best = &item;
            }
            if (best == nullptr)
                continue;
            order(*engine, model_order::action::Load, best->model->name, best->adapter);
            std::erase_if(
                busy, [&](const busy_adapter& item) { return requestsPerCopyOf(item) <= adapterCopyDemand; });
            if (busy.empty())
                return;
        }
    }
};

holding_planner::holding_planner(double loadsPerSecond)
    : m_loadsPerSecond(loadsPerSecond)
{
}

double holding_planner::mostSavedLoads() const
{
    return leastLoadBurst + m_loadsPerSecond * loadBurstSeconds;
}

bool holding_planner::mayLoadModel(monotonic_time now)
{
    if (m_allowedAt != monotonic_time {})
        m_loadAllowance = std::min(mostSavedLoads(),
            m_loadAllowance + m_loadsPerSecond * loadShare * std::max(0.0, secondsBetween(m_allowedAt, now)));
    m_allowedAt = now;
    return m_loadAllowance >= 1;
}

void holding_planner::onModelOrdered(monotonic_time now)
{
    mayLoadModel(now);
    m_loadAllowance -= 1;
}

std::vector<planned_holding> holding_planner::plan(const std::vector<engine_sight>& engines,
    const engine_config& config, const demand_meter& demand, monotonic_time now)
{
    pass current(engines, config, demand, now);
    current.placeAdapters(true);
    double allowance = mayLoadModel(now) ? m_loadAllowance : 0;
    current.copyModels(allowance);
    current.placeAdapters(false);
    current.copyAdapters();
    current.spreadModels(allowance, savedPart * mostSavedLoads());
    return std::move(current.orders);
}

} // namespace sagesaddle
