#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A model or adapter as the planner sees it.
struct plan_model {
    std::string name;
    /// Base model where this is an adapter, empty otherwise.
    std::string base;
    std::uint64_t memoryMb { 0 };
    /// Tokens a second asked of it lately.
    double demand { 0 };

    auto operator<=>(const plan_model&) const = default;
};

/// \brief An upstream as the planner sees it.
struct plan_upstream {
    std::string name;
    std::string zone;
    std::uint64_t memoryMb { 0 };
    /// Reachable and not leaving.
    bool usable { true };
    /// Models that it reports as loaded.
    std::set<std::string> resident;

    auto operator<=>(const plan_upstream&) const = default;
};

/// \brief A copy that the current plan asks for.
struct plan_copy {
    std::string model;
    std::string upstream;
    bool pinned { false };
    /// Declared by an operator, so that it is never removed.
    bool declared { false };

    auto operator<=>(const plan_copy&) const = default;
};

/// \brief All that a planning pass looks at.
struct plan_view {
    std::vector<plan_model> models;
    std::vector<plan_upstream> upstreams;
    std::vector<plan_copy> copies;

    auto operator<=>(const plan_view&) const = default;
};

/// \brief What a step does to a copy.
enum class plan_action {
    Add,
    Remove,
    Pin,
    Unpin,
};

/// \brief One change of the plan, and why.
struct plan_step {
    plan_action action { plan_action::Add };
    std::string model;
    std::string upstream;
    /// `unreachable`, `hot`, `cold`, `room`, `gone`, `spare` or `spread`.
    std::string reason;

    auto operator<=>(const plan_step&) const = default;
};

} // namespace sagesaddle
