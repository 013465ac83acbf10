#pragma once

#include "Record/objects.h"

#include <compare>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief The kinds of objects that operators declare, in the order of fleet_object's alternatives.
enum class object_kind {
    Team,
    Key,
    Model,
    Upstream,
    Route,
    Placement,
    Entry,
};

inline constexpr object_kind allObjectKinds[] = { object_kind::Team, object_kind::Key, object_kind::Model,
    object_kind::Upstream, object_kind::Route, object_kind::Placement, object_kind::Entry };

/// \return the kind's name in records, such as `team`.
std::string_view nameOf(object_kind kind);

/// \return the kind of that name, or nothing if there is none.
std::optional<object_kind> parseObjectKind(std::string_view name);

/// \brief Names one declared object: an API key by its id, a route by its path prefix, a placement as
/// `model@upstream`, any other by its name.
struct object_ref {
    object_kind kind { object_kind::Team };
    std::string name;

    auto operator<=>(const object_ref&) const = default;
};

object_ref refOf(const fleet_object& object);

/// \return the reference in the form of messages, such as `team "gold"`.
std::string formatRef(const object_ref& ref);

/// \return the name of a placement in an object_ref.
std::string placementName(std::string_view model, std::string_view upstream);

/// \brief A declared object, with the fields of a newer schema version that this program does not know.
struct declared_object {
    fleet_object value;
    /// The unknown fields as the text of a JSON object; empty if there are none.
    std::string unknownFields;

    auto operator<=>(const declared_object&) const = default;
};

/// \param schema schema version of the record that contains the object; fields of later versions are left out
nlohmann::json formatObject(const declared_object& object, std::uint32_t schema);

/// \param location where the object stands, for error messages
/// \param schema schema version that the object was written in
/// \throws record_error that names the location, the field, the allowed range and the remedy
declared_object parseObject(
    object_kind kind, const nlohmann::json& fields, const std::string& location, std::uint32_t schema);

} // namespace sagesaddle
