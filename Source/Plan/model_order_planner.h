#pragma once

#include "Place/engine_model_tracker.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Recent demand for one model or adapter.
struct recent_demand {
    /// Requests per second, as an average in which recent requests count more.
    double requestsPerSecond { 0 };
    /// The same for those requests that no upstream could take.
    double unplacedPerSecond { 0 };
    /// When the last request was counted; the epoch if there was none.
    monotonic_time lastRequestedAt {};
};

/// \brief Averages the demand for models and adapters, which are named by references (see formatModelRef()).
///
/// No I/O and no clock; not thread-safe.
class demand_meter {
public:
    /// Counts requests for a model or an adapter.
    /// \param requests number of requests since the last call
    /// \param unplaced number of them that no upstream could take
    void onRequests(const std::string& modelRef, double requests, double unplaced, monotonic_time now);

    /// \return the demand at the time `now`.
    recent_demand of(const std::string& modelRef, monotonic_time now) const;

private:
    std::map<std::string, recent_demand> m_demands;
};

/// \brief An order that an engine should get.
struct planned_model_order {
    std::string upstream;
    model_order::action what { model_order::action::Load };
    std::string model;
    /// Empty if the model itself is meant.
    std::string adapter;

    auto operator<=>(const planned_model_order&) const = default;
};

/// \brief State of one engine, as input of a planning pass.
struct engine_planning_input {
    const engine_model_tracker* tracker { nullptr };
    std::string zone;
    bool isDraining { false };
    /// Requests that the engine has from all gateways.
    int inFlight { 0 };
    /// Requests that the engine can run at once.
    int slots { 1 };
};

/// \brief Decides which models and adapters the engines of a service load and unload.
///
/// It follows demand that moves between many models on few engines. A pass orders first the adapters that are
/// requested and loaded nowhere, then copies of models that lack some, then the other adapters that are
/// loaded nowhere, then further copies of busy adapters into free slots. The last copy of a model is never
/// unloaded.
///
/// When demand shifts to a model that few engines have, its requests wait seconds for loads. What is left of
/// the weight store's rate is therefore used to load each model ahead of demand, until it is loaded or
/// host-cached on several engines.
///
/// No I/O and no clock; not thread-safe.
class model_order_planner {
public:
    /// \param loadsPerSecond loads per second that the weight store allows for all engines together
    explicit model_order_planner(double loadsPerSecond);

    /// \return the orders to send now, at most one for each engine.
    std::vector<planned_model_order> plan(const std::vector<engine_planning_input>& engines,
        const engine_config& config, const demand_meter& demand, monotonic_time now);

    /// An order to load a model from the weight store was sent.
    void onModelOrdered(monotonic_time now);

private:
    struct pass;

    /// Adds the loads that the weight store allows since the last call.
    /// \return whether a load from the weight store may begin now.
    bool updateLoadAllowance(monotonic_time now);
    /// \return the largest number of loads from the weight store that may be saved up.
    double maxSavedLoads() const;

    double m_loadsPerSecond;
    /// Loads from the weight store that may begin now.
    double m_loadAllowance { 0 };
    monotonic_time m_allowanceUpdatedAt {};
};

} // namespace sagesaddle
