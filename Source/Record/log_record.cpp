#include "Record/log_record.h"

#include "Base/overloaded.h"
#include "Record/field_reader.h"
#include "Record/json_text.h"
#include "Record/record_error.h"
#include "Record/state_json.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <stdexcept>

namespace sagesaddle {

namespace {

using nlohmann::json;

constexpr std::uint64_t maxOffset = UINT64_MAX / 2;
constexpr std::uint64_t maxSchema = 1'000'000;
constexpr std::size_t maxIdBytes = 64;
constexpr std::size_t randomIdBytes = 16;

json formatBody(const change_record& change, std::uint32_t schema)
{
    json put = json::object();
    for (const declared_object& object : change.put)
        put[std::string(nameOf(refOf(object.value).kind))].push_back(formatObject(object, schema));
    json remove = json::object();
    for (const object_ref& ref : change.remove)
        remove[std::string(nameOf(ref.kind))].push_back(ref.name);
    return { { "base_revision", change.baseRevision }, { "operator", change.operatorName },
        { "put", std::move(put) }, { "remove", std::move(remove) } };
}

json formatBody(const snapshot_record& snapshot, std::uint32_t)
{
    return formatStateJson(*snapshot.state);
}

json formatBody(const epoch_record& epoch, std::uint32_t)
{
    json fields { { "previous", epoch.previous }, { "members", epoch.members } };
    if (!epoch.runs.empty())
        fields["runs"] = epoch.runs;
    return fields;
}

json formatBody(const lease_record& lease, std::uint32_t)
{
    return { { "duty", lease.duty }, { "holder", lease.holder }, { "previous_fence", lease.previousFence } };
}

json formatBody(const plan_record& plan, std::uint32_t schema)
{
    json add = json::array();
    for (const placement& copy : plan.add)
        add.push_back(formatObject({ copy, {} }, schema));
    json remove = json::array();
    for (const auto& [model, upstream] : plan.remove)
        remove.push_back({ { "model", model }, { "upstream", upstream } });
    return { { "fence", plan.fence }, { "add", std::move(add) }, { "remove", std::move(remove) } };
}

json formatBody(const unknown_record& record, std::uint32_t)
{
    throw std::invalid_argument(
        "cannot write a record of unknown kind \"" + record.kind + "\": its fields are not known");
}

std::string kindOf(const record_body& body)
{
    return std::visit(overloaded {
                          [](const change_record&) -> std::string { return "change"; },
                          [](const snapshot_record&) -> std::string { return "snapshot"; },
                          [](const epoch_record&) -> std::string { return "epoch"; },
                          [](const lease_record&) -> std::string { return "lease"; },
                          [](const plan_record&) -> std::string { return "plan"; },
                          [](const unknown_record& record) { return record.kind; },
                      },
        body);
}

// Calls `use` with the kind and each element of the lists in an object such as {"team":[...]}.
template <typename Use> void forEachListed(const json& lists, const std::string& location, Use use)
{
    if (!lists.is_object())
        throw record_error(location + " must be an object with lists of objects by kind");
    for (const auto& [name, list] : lists.items()) {
        const auto kind = parseObjectKind(name);
        if (!kind)
            throw record_error(location + ": \"" + name + "\" is not a kind of object");
        if (!list.is_array())
            throw record_error(location + "." + name + " must be a list");
        for (const json& element : list)
            use(*kind, element);
    }
}

change_record parseChange(field_reader& reader, std::uint32_t schema)
{
    change_record change;
    change.baseRevision = reader.integer("base_revision", 0, maxOffset);
    change.operatorName = reader.text("operator");
    if (reader.has("put"))
        forEachListed(reader.value("put"), "put", [&](object_kind kind, const json& fields) {
            change.put.push_back(parseObject(kind, fields, "put." + std::string(nameOf(kind)), schema));
        });
    if (reader.has("remove"))
        forEachListed(reader.value("remove"), "remove", [&](object_kind kind, const json& name) {
            if (!name.is_string())
                throw record_error("remove." + std::string(nameOf(kind)) + " must be a list of names");
            change.remove.push_back({ kind, name.get<std::string>() });
        });
    return change;
}

member_run_ids parseRunIds(const json& fields, const std::vector<std::string>& members)
{
    if (!fields.is_object())
        throw record_error("\"runs\" must be an object with the run id of each member");
    member_run_ids runs;
    for (const auto& [member, run] : fields.items()) {
        if (!run.is_number_unsigned() || run.get<std::uint64_t>() == 0)
            throw record_error("\"runs\": \"" + member + "\" must have a whole number above 0");
        if (!std::binary_search(members.begin(), members.end(), member))
            throw record_error("\"runs\": \"" + member + "\" is not among \"members\"");
        runs.emplace(member, run.get<std::uint64_t>());
    }
    return runs;
}

epoch_record parseEpoch(field_reader& reader)
{
    epoch_record epoch;
    epoch.previous = reader.integer("previous", 0, maxOffset);
    const json& members = reader.value("members");
    if (!members.is_array())
        throw record_error("\"members\" must be a list of entry names");
    for (const json& member : members) {
        if (!member.is_string() || !isObjectName(member.get_ref<const std::string&>()))
            throw record_error("\"members\" must contain only entry names");
        epoch.members.push_back(member.get<std::string>());
    }
    std::sort(epoch.members.begin(), epoch.members.end());
    if (std::adjacent_find(epoch.members.begin(), epoch.members.end()) != epoch.members.end())
        throw record_error("\"members\" names an entry twice");
    if (reader.has("runs"))
        epoch.runs = parseRunIds(reader.value("runs"), epoch.members);
    return epoch;
}

lease_record parseLease(field_reader& reader)
{
    lease_record lease;
    lease.duty = reader.name("duty");
    lease.holder = reader.name("holder");
    lease.previousFence = reader.integer("previous_fence", 0, maxOffset);
    return lease;
}

const json& requiredCopies(field_reader& reader, std::string_view key)
{
    const json& list = reader.value(key);
    if (!list.is_array())
        throw record_error("\"" + std::string(key) + "\" must be a list of copies");
    return list;
}

plan_record parsePlan(field_reader& reader, std::uint32_t schema)
{
    plan_record plan;
    plan.fence = reader.integer("fence", 0, maxOffset);
    for (const json& fields : requiredCopies(reader, "add"))
        plan.add.push_back(
            std::get<placement>(parseObject(object_kind::Placement, fields, "plan.add", schema).value));
    for (const json& fields : requiredCopies(reader, "remove")) {
        field_reader copy(fields, "plan.remove", schema);
        const std::string model = copy.name("model");
        plan.remove.emplace_back(model, copy.name("upstream"));
        copy.collectUnknownFields();
    }
    return plan;
}

record_body parseBody(const std::string& kind, const json& body, std::uint32_t schema)
{
    if (kind == "snapshot")
        return snapshot_record { std::make_shared<const fleet_state>(parseStateJson(body)) };
    field_reader reader(body, kind, schema);
    record_body result = unknown_record { kind };
    if (kind == "change")
        result = parseChange(reader, schema);
    else if (kind == "epoch")
        result = parseEpoch(reader);
    else if (kind == "lease")
        result = parseLease(reader);
    else if (kind == "plan")
        result = parsePlan(reader, schema);
    else
        return result;
    reader.collectUnknownFields();
    return result;
}

} // namespace

std::string formatRecord(const log_record& record)
{
    const json text { { "id", record.id }, { "schema", record.schema }, { "kind", kindOf(record.body) },
        { "body",
            std::visit([&](const auto& body) { return formatBody(body, record.schema); }, record.body) } };
    return text.dump();
}

log_record parseRecord(std::string_view text)
{
    const json document = parseJsonText(text, "record");
    field_reader reader(document, "record", newestSchema);
    log_record record;
    record.id = reader.text("id", maxIdBytes);
    record.schema = static_cast<std::uint32_t>(reader.integer("schema", 1, maxSchema));
    const std::string kind = reader.name("kind");
    record.body = parseBody(kind, reader.value("body"), record.schema);
    return record;
}

std::string makeRecordId()
{
    std::array<unsigned char, randomIdBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("cannot generate a record id: RAND_bytes failed");
    return formatHex(bytes);
}

} // namespace sagesaddle
