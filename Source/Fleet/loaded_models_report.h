#pragma once

#include "Fleet/upstream_list.h"

namespace sagesaddle {

/// \brief What an engine reports of its load and of the models that it has loaded. The figures are a few
/// hundred milliseconds old.
struct loaded_models_report {
    /// Requests that wait at the engine.
    int queued { 0 };
    /// Requests that the engine runs.
    int running { 0 };
    /// KV cache that cannot be freed, in tokens.
    double kvCacheUsedTokens { 0 };
    /// Size of the KV cache, in tokens.
    double kvCacheTotalTokens { 0 };
    /// Number of orders that the engine accepted since its start.
    std::uint64_t acceptedOrders { 0 };
    /// Whether the engine is carrying out an order.
    bool isBusy { false };
    std::vector<loaded_model> models;
    /// Models whose weights are in the host's memory or on its disk, so that they load within one or two
    /// seconds.
    std::vector<std::string> hostCached;
    /// Adapters that the engine is loading, as `model/adapter`.
    std::vector<std::string> loadingAdapters;

    auto operator<=>(const loaded_models_report&) const = default;
};

/// \brief An order to an engine to load or unload a model or an adapter.
struct model_order {
    enum class action {
        Load,
        Unload,
    };

    action what { action::Load };
    std::string model;
    /// Empty if the model itself is meant.
    std::string adapter;
    /// Holder of the coordinator lease that sends the order.
    std::string holder;
    /// Fencing token of that lease.
    std::uint64_t fence { 0 };
    /// The engine rejects the order if the number of orders that it accepted is another one.
    std::uint64_t expectedOrders { 0 };

    auto operator<=>(const model_order&) const = default;
};

} // namespace sagesaddle
