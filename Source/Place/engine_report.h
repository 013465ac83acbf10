#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace sagesaddle {

/// \brief What an order asks of an engine.
enum class order_action {
    Load,
    Unload,
};

/// \brief An order to an engine; sent again under the same id it is done once.
struct engine_order {
    std::string id;
    std::uint64_t fence { 0 };
    order_action action { order_action::Load };
    std::string model;
    std::uint64_t memoryMb { 0 };

    auto operator<=>(const engine_order&) const = default;
};

/// \brief What came back for an order that was sent.
enum class order_reply {
    Accepted,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine has no memory for it.
    NoMemory,
    /// No answer: the order may take effect at any later time.
    Lost,
};

/// \brief State of a model on an engine.
enum class resident_state {
    Loading,
    Loaded,
    Unloading,
};

/// \brief A model that holds memory of an engine.
struct resident_model {
    std::uint64_t memoryMb { 0 };
    resident_state state { resident_state::Loaded };

    auto operator<=>(const resident_model&) const = default;
};

/// \brief How far an order has come.
enum class order_outcome {
    Running,
    /// Loaded, unloaded, failed or refused: nothing more follows from it.
    Settled,
};

/// \brief What an engine says of itself, lagged.
struct engine_report {
    /// Grows with every order that the engine accepts or settles.
    std::uint64_t sequence { 0 };
    /// How old the content was when the report was received.
    milliseconds age { 0 };
    std::uint64_t totalMb { 0 };
    std::uint64_t usedMb { 0 };
    std::map<std::string, resident_model> models;
    /// Recent orders by id.
    std::map<std::string, order_outcome> orders;

    auto operator<=>(const engine_report&) const = default;
};

} // namespace sagesaddle
