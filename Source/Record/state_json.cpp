#include "Record/state_json.h"

#include "Record/field_reader.h"
#include "Record/object_json.h"
#include "Record/object_table.h"
#include "Record/record_error.h"

#include <nlohmann/json.hpp>

namespace sagesaddle {

namespace {

using nlohmann::json;

constexpr std::uint64_t maxOffset = UINT64_MAX / 2;

json formatObjects(const fleet_state& state)
{
    json lists = json::object();
    for (const declared_object& object : listObjects(state))
        lists[std::string(nameOf(refOf(object.value).kind))].push_back(formatObject(object, newestSchema));
    return lists;
}

json formatLeases(const fleet_state& state)
{
    json leases = json::object();
    for (const auto& [duty, grant] : state.leases)
        leases[duty] = { { "holder", grant.holder }, { "fence", grant.fence } };
    return leases;
}

json formatPlan(const fleet_state& state)
{
    json list = json::array();
    for (const auto& [key, copy] : state.plan)
        list.push_back(formatObject({ copy, {} }, newestSchema));
    return list;
}

// A snapshot with fields that this program may not know names a schema version above newestSchema, so that
// parseObject keeps these fields and does not reject them.
void parseObjects(const json& lists, std::uint32_t schema, fleet_state& state)
{
    for (const auto& [name, list] : lists.items()) {
        const auto kind = parseObjectKind(name);
        if (!kind)
            throw record_error("snapshot: \"" + name + "\" is not a kind of object");
        for (const json& fields : list)
            putObject(state, parseObject(*kind, fields, "snapshot." + name, schema));
    }
}

json formatEpoch(const membership_epoch& epoch)
{
    json fields { { "number", epoch.number }, { "members", epoch.members } };
    if (!epoch.runs.empty())
        fields["runs"] = epoch.runs;
    return fields;
}

json formatPastEpochs(const fleet_state& state)
{
    json list = json::array();
    for (const membership_epoch& epoch : state.pastEpochs)
        list.push_back(formatEpoch(epoch));
    return list;
}

membership_epoch parseEpoch(const json& fields)
{
    field_reader reader(fields, "snapshot.epoch", newestSchema);
    membership_epoch epoch;
    epoch.number = reader.integer("number", 0, maxOffset);
    epoch.members = reader.value("members").get<std::vector<std::string>>();
    if (reader.has("runs"))
        epoch.runs = reader.value("runs").get<member_run_ids>();
    return epoch;
}

void parseLeases(const json& leases, fleet_state& state)
{
    for (const auto& [duty, fields] : leases.items()) {
        field_reader reader(fields, "snapshot.leases", newestSchema);
        lease_grant grant;
        grant.holder = reader.name("holder");
        grant.fence = reader.integer("fence", 0, maxOffset);
        state.leases.emplace(duty, grant);
    }
}

void parsePlan(const json& list, std::uint32_t schema, fleet_state& state)
{
    for (const json& fields : list) {
        const auto copy
            = std::get<placement>(parseObject(object_kind::Placement, fields, "snapshot.plan", schema).value);
        state.plan.emplace(std::pair(copy.model, copy.upstream), copy);
    }
}

fleet_state parseStateFields(const json& document)
{
    field_reader reader(document, "snapshot", newestSchema);
    fleet_state state;
    state.nextOffset = reader.integer("next_offset", 0, maxOffset);
    state.revision = reader.integer("revision", 0, maxOffset);
    const auto schema = static_cast<std::uint32_t>(reader.integer("schema", 1, UINT32_MAX));
    parseObjects(reader.value("objects"), schema, state);
    state.epoch = parseEpoch(reader.value("epoch"));
    if (reader.has("past_epochs"))
        for (const json& epoch : reader.value("past_epochs"))
            state.pastEpochs.push_back(parseEpoch(epoch));
    parseLeases(reader.value("leases"), state);
    if (reader.has("plan"))
        parsePlan(reader.value("plan"), schema, state);
    state.recentIds = reader.value("recent_ids").get<std::map<std::string, std::uint64_t>>();
    return state;
}

} // namespace

json formatStateJson(const fleet_state& state)
{
    const std::uint32_t schema = state.unknownFields.empty() ? newestSchema : newestSchema + 1;
    return { { "next_offset", state.nextOffset }, { "revision", state.revision }, { "schema", schema },
        { "objects", formatObjects(state) }, { "epoch", formatEpoch(state.epoch) },
        { "past_epochs", formatPastEpochs(state) }, { "leases", formatLeases(state) },
        { "plan", formatPlan(state) }, { "recent_ids", state.recentIds } };
}

fleet_state parseStateJson(const json& document)
{
    try {
        return parseStateFields(document);
    } catch (const json::exception& error) {
        throw record_error(std::string("snapshot: ") + error.what());
    }
}

} // namespace sagesaddle
