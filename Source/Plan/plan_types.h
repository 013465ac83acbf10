#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A model or adapter, as input of a planning pass.
struct plan_model {
    std::string name;
    /// Base model if this is an adapter; otherwise empty.
    std::string base;
    /// Memory that a copy takes, in MB, without that of the base model.
    std::uint64_t memoryMb { 0 };
    /// Recent demand, in tokens per second.
    double demand { 0 };

    auto operator<=>(const plan_model&) const = default;
};

/// \brief An upstream, as input of a planning pass.
struct plan_upstream {
    std::string name;
    /// Availability zone.
    std::string zone;
    /// Memory for models, in MB.
    std::uint64_t memoryMb { 0 };
    /// Whether it is reachable and stays in the fleet.
    bool usable { true };
    /// Names of the models that it reports as loaded.
    std::set<std::string> resident;

    auto operator<=>(const plan_upstream&) const = default;
};

/// \brief A copy of a model on an upstream that the current plan contains.
struct plan_copy {
    std::string model;
    std::string upstream;
    /// Whether the upstream must keep the model loaded.
    bool pinned { false };
    /// Declared by an operator, therefore never removed.
    bool declared { false };

    auto operator<=>(const plan_copy&) const = default;
};

/// \brief Input of a planning pass.
struct plan_view {
    std::vector<plan_model> models;
    std::vector<plan_upstream> upstreams;
    std::vector<plan_copy> copies;

    auto operator<=>(const plan_view&) const = default;
};

/// \brief How a step changes a copy.
enum class plan_action {
    Add,
    Remove,
    Pin,
    Unpin,
};

/// \brief One change of the plan, with its reason.
struct plan_step {
    plan_action action { plan_action::Add };
    std::string model;
    std::string upstream;
    /// One of these:
    ///
    /// `unreachable`: the model has no pinned copy on a usable upstream.
    ///
    /// `hot`: the demand needs a further copy.
    ///
    /// `cold`: the demand has needed fewer copies for some time.
    ///
    /// `room`: an unreachable model needs the memory.
    ///
    /// `gone`: the upstream of the copy is not usable.
    ///
    /// `spare`: the pin replaced a declared copy that is loaded again.
    ///
    /// `spread`: a model in demand gets a second copy in another zone.
    std::string reason;

    auto operator<=>(const plan_step&) const = default;
};

} // namespace sagesaddle
