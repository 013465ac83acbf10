#pragma once

#include "Record/fleet_state.h"

#include <nlohmann/json_fwd.hpp>

namespace sagesaddle {

/// \return the whole state as JSON, as a snapshot carries it.
nlohmann::json formatStateJson(const fleet_state& state);

/// Parses what formatStateJson made.
/// \throws record_error naming what is wrong
fleet_state parseStateJson(const nlohmann::json& document);

} // namespace sagesaddle
