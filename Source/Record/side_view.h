#pragma once

#include "Record/fleet_state.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

/// \brief The part of the fleet state that one side process needs; entries send it as JSON.
struct side_view {
    /// Next offset of the state that it was made from. A view never replaces one with a higher offset.
    std::uint64_t offset { 0 };
    sagesaddle::upstream upstream;
    /// By name: all models for an engine, since requests may need any of them; none for a service.
    std::map<std::string, model> models;
    /// Declared and planned copies on this upstream, by model.
    std::vector<placement> placements;

    auto operator<=>(const side_view&) const = default;
};

/// \return the view for an upstream's side process, or nothing if the state has no upstream of that name.
std::optional<side_view> makeSideView(const fleet_state& state, const std::string& upstreamName);

/// \return the view as JSON text.
std::string formatSideView(const side_view& view);

/// \brief Parses what formatSideView wrote, in this release or another one.
/// \throws record_error that names what is wrong
side_view parseSideView(std::string_view text);

} // namespace sagesaddle
