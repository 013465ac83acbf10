#include "Record/object_table.h"

#include "Base/overloaded.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// The state's table of API keys is by the hash of the secret, so that this searches all of it.
auto findKeyById(const fleet_state& state, const std::string& id)
{
    return std::find_if(
        state.keys.begin(), state.keys.end(), [&](const auto& item) { return item.second.id == id; });
}

auto findPlacement(const fleet_state& state, const std::string& name)
{
    const std::size_t separator = name.find('@');
    if (separator == std::string::npos)
        return state.placements.end();
    return state.placements.find({ name.substr(0, separator), name.substr(separator + 1) });
}

// Calls `use` with the table of the object's kind and an iterator to the object; the table's end if it is
// missing.
template <typename State, typename Use> auto withTable(State& state, const object_ref& ref, Use use)
{
    switch (ref.kind) {
    case object_kind::Team:
        return use(state.teams, state.teams.find(ref.name));
    case object_kind::Key:
        return use(state.keys, findKeyById(state, ref.name));
    case object_kind::Model:
        return use(state.models, state.models.find(ref.name));
    case object_kind::Upstream:
        return use(state.upstreams, state.upstreams.find(ref.name));
    case object_kind::Route:
        return use(state.routes, state.routes.find(ref.name));
    case object_kind::Placement:
        return use(state.placements, findPlacement(state, ref.name));
    case object_kind::Entry:
        break;
    }
    return use(state.entries, state.entries.find(ref.name));
}

template <typename Table>
void appendObjects(const fleet_state& state, const Table& table, std::vector<declared_object>& list)
{
    for (const auto& item : table) {
        declared_object object { item.second, {} };
        const auto unknown = state.unknownFields.find(formatRef(refOf(object.value)));
        if (unknown != state.unknownFields.end())
            object.unknownFields = unknown->second;
        list.push_back(std::move(object));
    }
}

} // namespace

std::vector<declared_object> listObjects(const fleet_state& state)
{
    std::vector<declared_object> list;
    appendObjects(state, state.teams, list);
    appendObjects(state, state.keys, list);
    appendObjects(state, state.models, list);
    appendObjects(state, state.upstreams, list);
    appendObjects(state, state.routes, list);
    appendObjects(state, state.placements, list);
    appendObjects(state, state.entries, list);
    return list;
}

std::optional<declared_object> findObject(const fleet_state& state, const object_ref& ref)
{
    const auto copyObject = [&](const auto& table, const auto& found) -> std::optional<declared_object> {
        if (found == table.end())
            return std::nullopt;
        const auto unknown = state.unknownFields.find(formatRef(ref));
        return declared_object { found->second,
            unknown == state.unknownFields.end() ? std::string() : unknown->second };
    };
    return withTable(state, ref, copyObject);
}

void putObject(fleet_state& state, const declared_object& object)
{
    const object_ref ref = refOf(object.value);
    removeObject(state, ref);
    std::visit(overloaded {
                   [&](const team& value) { state.teams.emplace(value.name, value); },
                   [&](const api_key& value) { state.keys.emplace(value.secretSha256, value); },
                   [&](const model& value) { state.models.emplace(value.name, value); },
                   [&](const upstream& value) { state.upstreams.emplace(value.name, value); },
                   [&](const route& value) { state.routes.emplace(value.pathPrefix, value); },
                   [&](const placement& value) {
                       state.placements.emplace(std::pair(value.model, value.upstream), value);
                   },
                   [&](const entry_config& value) { state.entries.emplace(value.name, value); },
               },
        object.value);
    if (!object.unknownFields.empty())
        state.unknownFields.emplace(formatRef(ref), object.unknownFields);
}

bool removeObject(fleet_state& state, const object_ref& ref)
{
    state.unknownFields.erase(formatRef(ref));
    return withTable(state, ref, [](auto& table, const auto& found) {
        if (found == table.end())
            return false;
        table.erase(found);
        return true;
    });
}

} // namespace sagesaddle
