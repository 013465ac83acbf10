#pragma once

#include "Record/fleet_state.h"

#include <nlohmann/json_fwd.hpp>

namespace sagesaddle {

/// \return the whole state as the body of a snapshot record.
nlohmann::json formatStateJson(const fleet_state& state);

/// \brief Parses what formatStateJson wrote, in this release or another one.
/// \throws record_error that names what is wrong
fleet_state parseStateJson(const nlohmann::json& document);

} // namespace sagesaddle
