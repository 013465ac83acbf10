#pragma once

#include "Fleet/upstream_list.h"

namespace sagesaddle {

/// \brief What an engine reports of its load; some hundred milliseconds old.
struct loaded_models_report {
    int queued { 0 };
    int running { 0 };
    /// Memory that cannot be freed, in tokens.
    double kvCacheUsedTokens { 0 };
    double kvCacheTotalTokens { 0 };
    /// Orders accepted since its start.
    std::uint64_t acceptedOrders { 0 };
    /// An order is being carried out.
    bool isBusy { false };
    std::vector<loaded_model> models;
    /// Models whose weights lie in the host's memory or on its disk: they load in a second or two.
    std::vector<std::string> hostCached;
    /// Adapters on their way, as `model/adapter`.
    std::vector<std::string> loadingAdapters;

    auto operator<=>(const loaded_models_report&) const = default;
};

/// \brief An order to an engine.
struct model_order {
    enum class action {
        Load,
        Unload,
    };

    action what { action::Load };
    std::string model;
    /// Empty where the model itself is meant.
    std::string adapter;
    std::string holder;
    std::uint64_t fence { 0 };
    /// The engine declines where it accepted another number of orders.
    std::uint64_t expectedOrders { 0 };

    auto operator<=>(const model_order&) const = default;
};

} // namespace sagesaddle
