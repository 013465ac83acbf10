#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace sagesaddle {

/// \brief What an order tells an engine to do.
enum class order_action {
    Load,
    Unload,
};

/// \brief An order to an engine to load or unload a model. The engine carries it out once, however often it
/// is sent under the same id.
struct engine_order {
    std::string id;
    /// Fencing token of the process that sends the order; 0 if it has none.
    std::uint64_t fence { 0 };
    order_action action { order_action::Load };
    std::string model;
    /// Memory that the model takes, in MB.
    std::uint64_t memoryMb { 0 };

    auto operator<=>(const engine_order&) const = default;
};

/// \brief How an engine answered an order.
enum class order_reply {
    Accepted,
    /// Rejected: the engine has received an order with a higher fencing token.
    Fenced,
    /// Rejected: the engine has too little free memory.
    NoMemory,
    /// No answer: the order may still be carried out at any later time.
    Lost,
};

/// \brief State of a model on an engine.
enum class resident_state {
    Loading,
    Loaded,
    Unloading,
};

/// \brief A model that occupies memory of an engine.
struct resident_model {
    std::uint64_t memoryMb { 0 };
    resident_state state { resident_state::Loaded };

    auto operator<=>(const resident_model&) const = default;
};

/// \brief Progress of an order at the engine.
enum class order_outcome {
    Running,
    /// Carried out, failed or rejected: it has no further effect.
    Settled,
};

/// \brief Report of an engine on its memory, models and orders. The content may be out of date by `age`.
struct engine_report {
    /// Rises with every order that the engine accepts or settles; starts again with the engine.
    std::uint64_t sequence { 0 };
    /// Age of the content when the report was received.
    milliseconds age { 0 };
    std::uint64_t totalMb { 0 };
    std::uint64_t usedMb { 0 };
    /// Models that occupy memory, by name.
    std::map<std::string, resident_model> models;
    /// Recent orders, by id.
    std::map<std::string, order_outcome> orders;

    auto operator<=>(const engine_report&) const = default;
};

} // namespace sagesaddle
