#pragma once

#include "Place/engine_model_tracker.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Recent demand for one model or adapter.
struct recent_demand {
    /// Requests a second, weighted towards the last seconds.
    double requestsPerSecond { 0 };
    /// The same for requests that no upstream could take.
    double unplacedPerSecond { 0 };
    monotonic_time lastRequestedAt {};
};

/// \brief Averages the demand for models and adapters; pure.
class demand_meter {
public:
    /// Takes in requests for a model, or for an adapter of it.
    void onRequests(const std::string& holding, double requests, double unplaced, monotonic_time now);

    /// \return the demand as of now.
    recent_demand of(const std::string& holding, monotonic_time now) const;

private:
    std::map<std::string, recent_demand> m_demands;
};

/// \brief An order for one engine.
struct planned_model_order {
    std::string upstream;
    model_order::action what { model_order::action::Load };
    std::string model;
    std::string adapter;

    auto operator<=>(const planned_model_order&) const = default;
};

/// \brief What the planner sees of an engine.
struct engine_planning_input {
    const engine_model_tracker* book { nullptr };
    std::string zone;
    bool isDraining { false };
    /// Requests at it, from all entries.
    int inFlight { 0 };
    int slots { 1 };
};

/// \brief Decides which models and adapters an engine loads or drops; pure.
///
/// Answers demand that moves between many models on few engines: what is asked for and held nowhere comes
/// first, then adapters into free places, then further copies of models whose engines are full. A model's
/// last copy is never dropped. Answers shifts of demand to models that few engines hold, which would wait for
/// loads of seconds: what of the store's rate is left lays each model near on several engines ahead of them.
class model_order_planner {
public:
    /// \param loadsPerSecond what the weight store allows over all engines
    explicit model_order_planner(double loadsPerSecond);

    /// \return orders to give now, at most one for each engine.
    std::vector<planned_model_order> plan(const std::vector<engine_planning_input>& engines,
        const engine_config& config, const demand_meter& demand, monotonic_time now);

    /// An order to load a model went out.
    void onModelOrdered(monotonic_time now);

private:
    struct pass;

    bool mayLoadModel(monotonic_time now);
    /// \return loads from the weight store that may be saved up.
    double mostSavedLoads() const;

    double m_loadsPerSecond;
    double m_loadAllowance { 0 };
    monotonic_time m_allowedAt {};
};

} // namespace sagesaddle
