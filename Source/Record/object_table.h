#pragma once

#include "Record/fleet_state.h"
#include "Record/object_json.h"

#include <optional>
#include <vector>

namespace sagesaddle {

/// \return all declared objects, by kind; within a kind in the order of the state's table, which is the
/// name's except for API keys.
std::vector<declared_object> listObjects(const fleet_state& state);

/// \return the object, or nothing if the state has none of that kind and name.
std::optional<declared_object> findObject(const fleet_state& state, const object_ref& ref);

/// \brief Adds an object, or replaces the one of the same kind and name.
void putObject(fleet_state& state, const declared_object& object);

/// \return whether the state had such an object.
bool removeObject(fleet_state& state, const object_ref& ref);

} // namespace sagesaddle
