#pragma once

#include "Record/fleet_state.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

/// \brief What the records say to one side process.
struct side_view {
    /// Offset of the state it was made from; a lower one never replaces a higher one.
    std::uint64_t offset { 0 };
    sagesaddle::upstream upstream;
    /// For an engine every model, since any may be asked of it; by name.
    std::map<std::string, model> models;
    /// Declared and planned copies on this upstream.
    std::vector<placement> placements;

    auto operator<=>(const side_view&) const = default;
};

/// \return the view of an upstream, or nothing where the state has none of that name.
std::optional<side_view> makeSideView(const fleet_state& state, const std::string& upstreamName);

/// \return the view as JSON text.
std::string formatSideView(const side_view& view);

/// \throws record_error naming what is wrong
side_view parseSideView(std::string_view text);

} // namespace sagesaddle
