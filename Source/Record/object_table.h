#pragma once

#include "Record/fleet_state.h"
#include "Record/object_json.h"

#include <optional>
#include <vector>

namespace sagesaddle {

/// \return all objects of the state, by kind and then by name.
std::vector<declared_object> listObjects(const fleet_state& state);

/// \return the object, or nothing where the state has none of that name.
std::optional<declared_object> findObject(const fleet_state& state, const object_ref& ref);

/// Adds an object, or replaces the one of the same name.
void putObject(fleet_state& state, const declared_object& object);

/// \return whether there was such an object.
bool removeObject(fleet_state& state, const object_ref& ref);

} // namespace sagesaddle
