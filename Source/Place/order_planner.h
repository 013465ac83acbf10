#pragma once

#include "Base/clock.h"
#include "Place/engine_report.h"
#include "Place/memory_ledger.h"
#include "Record/side_view.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Demand for one model at an engine.
struct model_demand {
    /// Requests that wait for the model or run on it.
    std::uint32_t active { 0 };
    /// When a request last asked for the model.
    monotonic_time lastRequestedAt;

    auto operator<=>(const model_demand&) const = default;
};

/// Demand by name of the model.
using demand_table = std::map<std::string, model_demand>;

/// \brief An order that planOrders() proposes.
struct planned_order {
    order_action action { order_action::Load };
    std::string model;
    /// Memory that the order takes or frees, in MB.
    std::uint64_t memoryMb { 0 };

    auto operator<=>(const planned_order&) const = default;
};

/// \param totalMb memory of the upstream, in MB
/// \return whether the model and its base fit into the memory beside all models that are pinned to the
///         upstream.
bool fitsBesidePins(const side_view& view, const std::string& model, std::uint64_t totalMb);

/// \return whether the model and its base occupy memory already or can be loaded without evicting models that
///         are pinned or in use, and with room left for models that waiting requests or pins need.
bool canMakeRoomFor(const side_view& view, const memory_ledger& ledger, const demand_table& demand,
    const std::string& model, monotonic_time now);

/// \return whether the model, although it is loaded, must get no new requests: a pinned model for which there
///         is no other room gets its memory when the running requests have ended.
bool mustDrainForPin(const side_view& view, const memory_ledger& ledger, const demand_table& demand,
    const std::string& model, monotonic_time now);

/// Plans the orders for one engine. Pinned models are loaded first, then models that requests ask for, then
/// the other placements. Models that are pinned or in use are never evicted; of the others, models without a
/// placement are evicted first, the least recently requested first.
/// \return the orders to give now; loads that need memory freed first follow in a later call
std::vector<planned_order> planOrders(
    const side_view& view, const memory_ledger& ledger, const demand_table& demand, monotonic_time now);

} // namespace sagesaddle
