#pragma once

#include "Record/log_record.h"

#include <nlohmann/json.hpp>
#include <string>

namespace sagesaddle {

/// \return a line for each object that a change adds (`+`), modifies (`~`) or removes (`-`), with the
/// modified fields; `no change` where there is none.
std::string formatChangeText(const fleet_state& state, const change_record& change);

/// \return the same for scripts: an object with `revision` (of the state), `add`, `change` and `remove`.
nlohmann::json formatChangeJson(const fleet_state& state, const change_record& change);

} // namespace sagesaddle
