#include "Plan/model_order_planner.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <string_view>
#include <unordered_map>

namespace sagesaddle {

namespace {

// Time in which past demand decays to 1/e: shorter than shifts of demand, longer than gaps between requests.
constexpr double demandDecaySeconds = 2.0;
// Time without a request after which the last copy of an adapter may be unloaded.
constexpr seconds minAdapterIdleTime { 2 };
// Fraction of the weight store's rate that is used. The rest is for delayed orders and for loads that other
// holders of the lease ordered.
constexpr double loadRateFraction = 0.85;
// Loads that may be saved up: a fixed number, plus those of a time at the full rate. Together with
// loadRateFraction, loads stay within the weight store's limit for any five seconds.
constexpr double minSavedLoads = 1.5;
constexpr double savedLoadSeconds = 1;
// Engines that may have free memory for one model at once, beyond the loads that are allowed now.
constexpr int extraEnginesWithRoom = 2;
// Model copies per engine over which the demand is divided. More than one, so that a request has a choice of
// engines.
constexpr double copiesPerEngine = 1.5;
// Factor by which more copies are kept than would be loaded, so that noise in the demand does not cause loads
// and unloads.
constexpr double keptCopiesFactor = 1.35;
// Engines on which a model should be able to serve within a second or two, being loaded or host-cached. A
// host's disk stores about six models, about twice as many as its engine can load.
constexpr int minQuickEngines = 4;
// One engine of this many may load a model ahead of demand, because it accepts no order for an adapter
// meanwhile.
constexpr int enginesPerLoadAhead = 6;
// Fraction of the saved-up loads that loads ahead of demand must leave for demand.
constexpr double reservedLoadFraction = 0.6;
// Requests per second that each copy of a model should serve at least.
constexpr double minRequestsPerCopy = 1.5;
// Requests per second for each copy of an adapter above which a further copy is loaded into a free slot.
constexpr double maxRequestsPerAdapterCopy = 0.3;
// Requests per second from which a model may get more than one copy.
constexpr double minDemandForCopies = 2;

} // namespace

void demand_meter::onRequests(const std::string& ref, double requests, double unplaced, monotonic_time now)
{
    const recent_demand known = of(ref, now);
    m_demands[ref] = { known.requestsPerSecond + requests / demandDecaySeconds,
        known.unplacedPerSecond + unplaced / demandDecaySeconds, now };
}

recent_demand demand_meter::of(const std::string& ref, monotonic_time now) const
{
    const auto found = m_demands.find(ref);
    if (found == m_demands.end())
        return {};
    const double decay
        = std::exp(-std::max(0.0, secondsBetween(found->second.lastRequestedAt, now)) / demandDecaySeconds);
    return { found->second.requestsPerSecond * decay, found->second.unplacedPerSecond * decay,
        found->second.lastRequestedAt };
}

/// One planning pass. Orders that were planned earlier in the pass count as carried out.
///
/// What each engine has loaded and how many copies there are of each model and adapter are looked up once, so
/// that the time of a pass is proportional to the number of engines plus that of models and adapters, not to
/// the product.
struct model_order_planner::pass {
    /// An engine, with copies of the values of its tracker that the pass needs repeatedly.
    struct engine_state {
        const engine_planning_input* input { nullptr };
        /// Loaded models.
        std::vector<const model_config*> models;
        /// References to the loaded adapters.
        std::vector<std::string> adapters;
        int freeAdapterSlots { 0 };
        double freeWeightMemoryMb { 0 };
        double freeAfterUnloadsMb { 0 };
        /// The engine may still get an order in this pass.
        bool acceptsOrder { false };

        const engine_model_tracker& tracker() const { return *input->tracker; }
    };

    pass(const std::vector<engine_planning_input>& inputs, const engine_config& engineConfig,
        const demand_meter& demandMeter, monotonic_time at)
        : config(engineConfig)
        , demand(demandMeter)
        , now(at)
    {
        std::unordered_map<std::string_view, const model_config*> models;
        for (const auto& model : config.models) {
            models.emplace(model.name, &model);
            modelDemand[&model] = demand.of(model.name, now).requestsPerSecond;
            totalDemand += modelDemand[&model];
        }
        engines.reserve(inputs.size());
        for (const auto& input : inputs)
            engines.push_back(makeState(input, models));
    }

    const engine_config& config;
    const demand_meter& demand;
    monotonic_time now;
    std::vector<engine_state> engines;
    std::vector<planned_model_order> orders;
    /// Number of engines that have loaded or may yet load a model or adapter, by its reference.
    std::unordered_map<std::string, int> copyCounts;
    /// Number of engines on which a model is possibly loaded or host-cached, by its name.
    std::unordered_map<std::string, int> quickCounts;
    /// Number of engines that have a model loaded.
    std::unordered_map<const model_config*, int> loadedCounts;
    /// Requests per second for each model, and for all together.
    std::unordered_map<const model_config*, double> modelDemand;
    double totalDemand { 0 };

    engine_state makeState(const engine_planning_input& input,
        const std::unordered_map<std::string_view, const model_config*>& models)
    {
        const engine_model_tracker& tracker = *input.tracker;
        engine_state view { &input, {}, {}, tracker.freeAdapterSlots(), tracker.freeWeightMemoryMb(),
            tracker.freeAfterUnloadsMb(), !input.isDraining && tracker.maySendOrders() };
        for (const auto& ref : tracker.loaded()) {
            if (isAdapterRef(ref)) {
                view.adapters.push_back(ref);
                continue;
            }
            const auto model = models.find(ref);
            if (model != models.end())
                view.models.push_back(model->second);
        }
        if (input.isDraining)
            return view;
        for (const model_config* model : view.models)
            ++loadedCounts[model];
        for (const auto& ref : tracker.possiblyLoaded()) {
            ++copyCounts[ref];
            if (!isAdapterRef(ref))
                ++quickCounts[ref];
        }
        for (const auto& model : tracker.hostCached()) {
            if (!tracker.mayBeLoaded(model))
                ++quickCounts[model];
        }
        return view;
    }

    int copies(const std::string& ref) const
    {
        const auto found = copyCounts.find(ref);
        return found == copyCounts.end() ? 0 : found->second;
    }

    bool isIdle(const std::string& ref, monotonic_duration duration) const
    {
        const auto known = demand.of(ref, now);
        return known.lastRequestedAt == monotonic_time {} || now - known.lastRequestedAt >= duration;
    }

    void order(
        engine_state& engine, model_order::action what, const std::string& model, const std::string& adapter)
    {
        orders.push_back({ engine.tracker().upstream(), what, model, adapter });
        engine.acceptsOrder = false;
        copyCounts[formatModelRef(model, adapter)] += what == model_order::action::Load ? 1 : -1;
    }

    /// \return the adapter at the engine whose unloading affects the fewest requests; empty if none may be
    ///         unloaded.
    std::optional<std::string> adapterToUnload(const engine_state& engine) const
    {
        std::optional<std::string> best;
        double lowestCost = 0;
        for (const auto& ref : engine.adapters) {
            const bool hasOther = copies(ref) > 1;
            if (!hasOther && !isIdle(ref, minAdapterIdleTime))
                continue;
            const double cost = demand.of(ref, now).requestsPerSecond / (hasOther ? 2 : 1);
            if (!best || cost < lowestCost) {
                best = ref;
                lowestCost = cost;
            }
        }
        return best;
    }

    static bool hasLoaded(const engine_state& engine, const model_config& model)
    {
        return std::find(engine.models.begin(), engine.models.end(), &model) != engine.models.end();
    }

    /// \return whether an adapter should be loaded at the one engine rather than at the other: it has more
    ///         free slots, or as many and fewer requests.
    static bool isBetterForAdapter(const engine_state& engine, const engine_state& other)
    {
        return std::pair(-engine.freeAdapterSlots, engine.input->inFlight)
            < std::pair(-other.freeAdapterSlots, other.input->inFlight);
    }

    /// Orders a load of the adapter where a slot is free, or an unload that frees one.
    /// \param mayUnload whether another adapter may be unloaded for this one
    void placeAdapter(const model_config& model, const std::string& adapter, bool mayUnload)
    {
        engine_state* best = nullptr;
        for (auto& engine : engines) {
            if (!engine.acceptsOrder || !hasLoaded(engine, model))
                continue;
            if (engine.freeAdapterSlots <= 0 && !(mayUnload && adapterToUnload(engine)))
                continue;
            if (best == nullptr || isBetterForAdapter(engine, *best))
                best = &engine;
        }
        if (best == nullptr)
            return;
        if (best->freeAdapterSlots > 0) {
            order(*best, model_order::action::Load, model.name, adapter);
            return;
        }
        const model_ref victim = parseModelRef(*adapterToUnload(*best));
        order(*best, model_order::action::Unload, victim.model, victim.adapter);
    }

    /// Places the adapters that are loaded nowhere.
    /// \param requestedOnly only those with recent requests that no upstream could take
    void placeAdapters(bool requestedOnly)
    {
        for (const auto& model : config.models) {
            for (int index = 1; index <= model.adapterCount; ++index) {
                const std::string adapter = "a" + std::to_string(index);
                const std::string name = formatModelRef(model.name, adapter);
                if (copies(name) > 0)
                    continue;
                const bool isRequested
                    = demand.of(name, now).unplacedPerSecond > 0 && !isIdle(name, minAdapterIdleTime);
                if (requestedOnly && !isRequested)
                    continue;
                placeAdapter(model, adapter, isRequested);
            }
        }
    }

    /// \return number of engines on which a model is possibly loaded, or can be loaded without the weight
    ///         store.
    int quickEngines(const std::string& model) const
    {
        const auto found = quickCounts.find(model);
        return found == quickCounts.end() ? 0 : found->second;
    }

    /// Loads, ahead of demand, the model that is loaded or host-cached on the fewest engines, at a further
    /// engine.
    /// \param allowance loads from the weight store that may begin now
    /// \param reserved loads of them that are left for demand
    void loadAheadOfDemand(double allowance, double reserved)
    {
        const auto loading = std::count_if(engines.begin(), engines.end(),
            [](const engine_state& engine) { return engine.tracker().isLoading(); });
        if (allowance < 1 + reserved
            || loading >= std::max<std::ptrdiff_t>(1, std::ssize(engines) / enginesPerLoadAhead))
            return;
        const model_config* rarest = nullptr;
        int fewest = std::min(minQuickEngines, static_cast<int>(engines.size()));
        for (const auto& model : config.models) {
            const int count = quickEngines(model.name);
            if (count < fewest) {
                fewest = count;
                rarest = &model;
            }
        }
        if (rarest == nullptr)
            return;
        engine_state* const target = engineWithRoom(*rarest, false);
        if (target != nullptr)
            order(*target, model_order::action::Load, rarest->name, {});
        else if (totalDemand > 0)
            makeRoom(*rarest, 0, false);
    }

    /// \param isHostCached whether the weights must be host-cached there, or must not be
    /// \return the engine with the lowest load that can load a model now; nullptr if there is none.
    engine_state* engineWithRoom(const model_config& model, bool isHostCached)
    {
        engine_state* best = nullptr;
        for (auto& engine : engines) {
            if (!engine.acceptsOrder || engine.freeWeightMemoryMb < model.weightsMb
                || engine.tracker().isHostCached(model.name) != isHostCached
                || engine.tracker().mayBeLoaded(model.name))
                continue;
            if (best == nullptr
                || engine.input->inFlight * best->input->slots < best->input->inFlight * engine.input->slots)
                best = &engine;
        }
        return best;
    }

    /// \return whether the engine has room for a model, or will have it after the ordered unloads.
    static bool hasRoomAfterUnloads(const engine_state& engine, const model_config& model)
    {
        return !engine.input->isDraining && engine.freeAfterUnloadsMb >= model.weightsMb
            && !engine.tracker().isLoading();
    }

    /// \return whether an engine whose host caches the weights has room for a model or will have it.
    bool hasRoomWhereHostCached(const model_config& model) const
    {
        return std::any_of(engines.begin(), engines.end(), [&](const engine_state& engine) {
            return hasRoomAfterUnloads(engine, model) && engine.tracker().isHostCached(model.name)
                && !engine.tracker().mayBeLoaded(model.name);
        });
    }

    /// Loads a model where it fits, or makes room for it first. Engines whose host caches the weights come
    /// first, even if another model must be unloaded there: a load from the weight store takes several times
    /// as long.
    /// \param allowance loads from the weight store that may begin now; reduced by 1 if this call begins one
    /// \return whether a load was ordered
    bool placeModel(const model_config& model, double& allowance)
    {
        if (engine_state* const cachedAt = engineWithRoom(model, true)) {
            order(*cachedAt, model_order::action::Load, model.name, {});
            return true;
        }
        if (hasRoomWhereHostCached(model) || makeRoom(model, 0, true))
            return false;
        engine_state* const target = allowance >= 1 ? engineWithRoom(model, false) : nullptr;
        if (target == nullptr) {
            makeRoom(model, allowance, false);
            return false;
        }
        allowance -= 1;
        order(*target, model_order::action::Load, model.name, {});
        return true;
    }

    /// Loads further copies of the models that have fewer than desired, first of the model with the most
    /// requests for each copy. Ordered copies count, so that a model with very high demand may get several
    /// loads before others get one.
    void copyModels(double& allowance)
    {
        using lacking_model = std::pair<double, const model_config*>;
        std::priority_queue<lacking_model> lacking;
        const auto addIfLacking = [&](const model_config& model) {
            const int have = copies(model.name);
            if (have < desiredCopies(model, 1))
                lacking.emplace(modelDemand.at(&model) / std::max(have, 1), &model);
        };
        for (const auto& model : config.models)
            addIfLacking(model);
        while (!lacking.empty()) {
            const model_config* const model = lacking.top().second;
            lacking.pop();
            if (placeModel(*model, allowance))
                addIfLacking(*model);
        }
    }

    /// \return number of engines that have room for a model, or will have it after the ordered unloads.
    int enginesWithRoom(const model_config& model) const
    {
        return static_cast<int>(std::count_if(engines.begin(), engines.end(),
            [&](const engine_state& engine) { return hasRoomAfterUnloads(engine, model); }));
    }

    int loadedCopies(const model_config& model) const
    {
        const auto found = loadedCounts.find(&model);
        return found == loadedCounts.end() ? 0 : found->second;
    }

    /// Unloads a copy of another model that has more copies than desired, or whose remaining copies would
    /// each get fewer requests than each copy of this model. Of the other model only loaded copies count,
    /// because a copy that is being loaded serves no requests for seconds.
    /// \param onlyHostCached only at engines whose host caches the weights of the model
    /// \return whether an unload was ordered
    bool makeRoom(const model_config& model, double allowance, bool onlyHostCached)
    {
        if (!onlyHostCached && enginesWithRoom(model) >= extraEnginesWithRoom + static_cast<int>(allowance))
            return false;
        const double own = modelDemand.at(&model) / std::max(copies(model.name), 1);
        engine_state* target = nullptr;
        const model_config* victim = nullptr;
        double highestGain = 0;
        for (auto& engine : engines) {
            if (!engine.acceptsOrder || (onlyHostCached && !engine.tracker().isHostCached(model.name))
                || engine.tracker().mayBeLoaded(model.name))
                continue;
            for (const model_config* other : engine.models) {
                const int copiesLoaded = loadedCopies(*other);
                if (engine.freeWeightMemoryMb + other->weightsMb < model.weightsMb || copiesLoaded < 2)
                    continue;
                const int spare = copiesLoaded - desiredCopies(*other, keptCopiesFactor);
                const double lost = modelDemand.at(other) / (copiesLoaded - 1);
                if (spare < 1 && lost >= own)
                    continue;
                const double gain = spare + 1.0
                    - static_cast<double>(engine.input->inFlight) / std::max(engine.input->slots, 1);
                if (target == nullptr || gain > highestGain) {
                    target = &engine;
                    victim = other;
                    highestGain = gain;
                }
            }
        }
        if (target == nullptr)
            return false;
        order(*target, model_order::action::Unload, victim->name, {});
        --loadedCounts[victim];
        return true;
    }

    /// \return number of copies that a model should have for its part of the demand, at least 1.
    /// \param factor by which the computed number is raised
    int desiredCopies(const model_config& model, double factor) const
    {
        const double own = modelDemand.at(&model);
        if (own < minDemandForCopies || totalDemand <= 0)
            return 1;
        const double engineCount = static_cast<double>(engines.size());
        const double wanted
            = std::min(engineCount * copiesPerEngine * own / totalDemand, own / minRequestsPerCopy);
        return std::clamp(static_cast<int>(std::ceil(wanted * factor)), 1, static_cast<int>(engines.size()));
    }

    /// An adapter whose copies serve more than maxRequestsPerAdapterCopy.
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
                if (requestsPerCopyOf(item) > maxRequestsPerAdapterCopy)
                    busy.push_back(std::move(item));
            }
        }
        return busy;
    }

    /// Loads further copies of the busiest adapters into free slots, until each copy has few enough requests.
    void copyAdapters()
    {
        std::vector<busy_adapter> busy = busyAdapters();
        if (busy.empty())
            return;
        std::vector<engine_state*> targets;
        for (auto& engine : engines) {
            if (engine.acceptsOrder && engine.freeAdapterSlots > 0)
                targets.push_back(&engine);
        }
        std::stable_sort(
            targets.begin(), targets.end(), [](const engine_state* one, const engine_state* other) {
                return isBetterForAdapter(*one, *other);
            });
        for (engine_state* const engine : targets) {
            const busy_adapter* best = nullptr;
            for (const auto& item : busy) {
                if ((best == nullptr || requestsPerCopyOf(item) > requestsPerCopyOf(*best))
                    && hasLoaded(*engine, *item.model) && !engine->tracker().mayBeLoaded(item.name))
                    best = &item;
            }
            if (best == nullptr)
                continue;
            order(*engine, model_order::action::Load, best->model->name, best->adapter);
            std::erase_if(busy, [&](const busy_adapter& item) {
                return requestsPerCopyOf(item) <= maxRequestsPerAdapterCopy;
            });
            if (busy.empty())
                return;
        }
    }
};

model_order_planner::model_order_planner(double loadsPerSecond)
    : m_loadsPerSecond(loadsPerSecond)
{
}

double model_order_planner::maxSavedLoads() const
{
    return minSavedLoads + m_loadsPerSecond * savedLoadSeconds;
}

bool model_order_planner::updateLoadAllowance(monotonic_time now)
{
    if (m_allowanceUpdatedAt != monotonic_time {})
        m_loadAllowance = std::min(maxSavedLoads(),
            m_loadAllowance
                + m_loadsPerSecond * loadRateFraction
                    * std::max(0.0, secondsBetween(m_allowanceUpdatedAt, now)));
    m_allowanceUpdatedAt = now;
    return m_loadAllowance >= 1;
}

void model_order_planner::onModelOrdered(monotonic_time now)
{
    updateLoadAllowance(now);
    m_loadAllowance -= 1;
}

std::vector<planned_model_order> model_order_planner::plan(const std::vector<engine_planning_input>& engines,
    const engine_config& config, const demand_meter& demand, monotonic_time now)
{
    pass current(engines, config, demand, now);
    current.placeAdapters(true);
    double allowance = updateLoadAllowance(now) ? m_loadAllowance : 0;
    current.copyModels(allowance);
    current.placeAdapters(false);
    current.copyAdapters();
    current.loadAheadOfDemand(allowance, reservedLoadFraction * maxSavedLoads());
    return std::move(current.orders);
}

} // namespace sagesaddle
