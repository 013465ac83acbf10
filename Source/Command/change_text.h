#pragma once

#include "Record/log_record.h"

#include <nlohmann/json.hpp>
#include <string>

namespace sagesaddle {

/// \return a line for each object that a change adds, alters or removes; `no change` where there is none.
std::string formatChangeText(const fleet_state& state, const change_record& change);

/// \return the same for scripts: `revision`, `add`, `change` and `remove`.
nlohmann::json formatChangeJson(const fleet_state& state, const change_record& change);

} // namespace sagesaddle
