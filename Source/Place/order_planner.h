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

/// \brief How requests use one model.
struct model_demand {
    /// Requests that wait for it or run on it.
    std::uint32_t active { 0 };
    /// Last time that a request asked for it.
    monotonic_time lastRequestedAt;

    auto operator<=>(const model_demand&) const = default;
};

/// Demand by model.
using demand_table = std::map<std::string, model_demand>;

/// \brief An order worth giving.
struct planned_order {
    order_action action { order_action::Load };
    std::string model;
    std::uint64_t memoryMb { 0 };

    auto operator<=>(const planned_order&) const = default;
};

/// \return whether the model fits beside all models pinned to the upstream.
bool fitsBesidePins(const side_view& view, const std::string& model, std::uint64_t totalMb);

/// \return whether the model is held, or can be loaded without evicting what is pinned or in use.
bool canMakeRoomFor(const side_view& view, const memory_ledger& ledger, const demand_table& demand,
    const std::string& model, monotonic_time now);

/// \return whether the model, although it is loaded, takes no new requests, so that a pinned model that
///         finds no other room gets its memory once the running ones have ended.
bool mustDrainForPin(const side_view& view, const memory_ledger& ledger, const demand_table& demand,
    const std::string& model, monotonic_time now);

/// Chooses the orders for one engine: pinned models first, then those that requests ask for, then the
/// other placements. Pinned models and those in use are never evicted; of the rest the least recently
/// used go first.
std::vector<planned_order> planOrders(
    const side_view& view, const memory_ledger& ledger, const demand_table& demand, monotonic_time now);

} // namespace sagesaddle
