#include "Record/naive_fold.h"

#include "Record/field_reader.h"
#include "Record/object_table.h"

namespace sagesaddle::testing {

namespace {

using nlohmann::json;

// The name of an object, as object_ref has it.
std::string objectName(const std::string& kind, const json& fields)
{
    if (kind == "key")
        return fields.at("id");
    if (kind == "route")
        return fields.at("path_prefix");
    if (kind == "placement")
        return fields.at("model").get<std::string>() + "@" + fields.at("upstream").get<std::string>();
    return fields.at("name");
}

// Whether a model may have this base: none, or a model that is not an adapter.
bool isValidBase(const naive_state& state, const std::string& base)
{
    if (base.empty())
        return true;
    const auto found = state.objects.find({ "model", base });
    return found != state.objects.end() && found->second.at("base").get<std::string>().empty();
}

// Whether all references of the declared objects are valid, secrets are unique and placements fit the memory.
bool isConsistent(const naive_state& state)
{
    const auto has = [&](const char* kind, const json& name) {
        return state.objects.contains({ kind, name });
    };
    std::map<std::string, double> placedMb;
    std::set<std::string> services;
    std::set<std::string> hashes;
    for (const auto& [ref, fields] : state.objects)
        if (ref.first == "upstream")
            services.insert(fields.at("service").get<std::string>());
    for (const auto& [ref, fields] : state.objects) {
        if (ref.first == "key"
            && (!has("team", fields.at("team")) || !hashes.insert(fields.at("secret_sha256")).second))
            return false;
        if (ref.first == "model" && !isValidBase(state, fields.at("base")))
            return false;
        if (ref.first == "route" && !services.contains(fields.at("service")))
            return false;
        if (ref.first != "placement")
            continue;
        if (!has("model", fields.at("model")) || !has("upstream", fields.at("upstream")))
            return false;
        const json& engine = state.objects.at({ "upstream", fields.at("upstream") });
        double& requiredMb = placedMb[fields.at("upstream")];
        requiredMb += state.objects.at({ "model", fields.at("model") }).at("memory_mb").get<double>();
        if (engine.at("kind") != "engine" || requiredMb > engine.at("memory_mb").get<double>())
            return false;
    }
    return true;
}

// Whether a withdrawn API key would be valid again.
bool restoresWithdrawnKey(const naive_state& before, const naive_state& after)
{
    for (const auto& [ref, old] : before.objects)
        for (const auto& [otherRef, changed] : after.objects)
            if (ref.first == "key" && otherRef.first == "key"
                && old.at("secret_sha256") == changed.at("secret_sha256") && old.at("withdrawn") == true
                && changed.at("withdrawn") == false)
                return true;
    return false;
}

bool isPlannable(const naive_state& state, const std::pair<std::string, std::string>& copy)
{
    const auto found = state.objects.find({ "upstream", copy.second });
    return state.objects.contains({ "model", copy.first }) && found != state.objects.end()
        && found->second.at("kind") == "engine";
}

// Whether the declared and planned copies on an upstream fit its memory together.
bool fitsMemory(const naive_state& state, const std::string& upstream)
{
    std::set<std::string> models;
    for (const auto& [ref, fields] : state.objects)
        if (ref.first == "placement" && fields.at("upstream") == upstream)
            models.insert(fields.at("model"));
    for (const auto& [copy, pinned] : state.plan)
        if (copy.second == upstream)
            models.insert(copy.first);
    double needed = 0;
    for (const std::string& name : models)
        needed += state.objects.at({ "model", name }).at("memory_mb").get<double>();
    return needed <= state.objects.at({ "upstream", upstream }).at("memory_mb").get<double>();
}

bool applyChange(naive_state& state, std::uint64_t offset, const json& body)
{
    if (body.at("base_revision") != state.revision)
        return false;
    naive_state next = state;
    std::set<std::pair<std::string, std::string>> named;
    for (const auto& [kind, names] : body.at("remove").items())
        for (const json& name : names)
            if (!named.insert({ kind, name }).second || next.objects.erase({ kind, name }) == 0)
                return false;
    for (const auto& [kind, list] : body.at("put").items())
        for (const json& fields : list) {
            if (!named.insert({ kind, objectName(kind, fields) }).second)
                return false;
            next.objects[{ kind, objectName(kind, fields) }] = fields;
        }
    if (!isConsistent(next) || restoresWithdrawnKey(state, next))
        return false;
    next.revision = offset + 1;
    state = std::move(next);
    // Where memory is short, planned copies are removed one by one, in order, until the others fit. The
    // memory is summed up anew each time.
    std::erase_if(state.plan, [&](const auto& copy) { return !isPlannable(state, copy.first); });
    for (auto copy = state.plan.begin(); copy != state.plan.end();) {
        const bool declared
            = state.objects.contains({ "placement", copy->first.first + "@" + copy->first.second });
        copy = !declared && !fitsMemory(state, copy->first.second) ? state.plan.erase(copy) : std::next(copy);
    }
    return true;
}

bool applyPlan(naive_state& state, const json& body)
{
    const auto current = state.leases.find("planner");
    if (current == state.leases.end() || body.at("fence") != current->second.second)
        return false;
    naive_state next = state;
    for (const json& copy : body.at("remove")) {
        if (!isPlannable(state, { copy.at("model"), copy.at("upstream") }))
            return false;
        next.plan.erase({ copy.at("model"), copy.at("upstream") });
    }
    for (const json& copy : body.at("add")) {
        if (!isPlannable(state, { copy.at("model"), copy.at("upstream") }))
            return false;
        next.plan[{ copy.at("model"), copy.at("upstream") }] = copy.at("pinned");
    }
    for (const json& copy : body.at("add"))
        if (!fitsMemory(next, copy.at("upstream")))
            return false;
    state = std::move(next);
    return true;
}

bool applyEpoch(naive_state& state, std::uint64_t offset, const json& body)
{
    if (body.at("previous") != state.epoch)
        return false;
    for (const json& member : body.at("members"))
        if (!state.objects.contains({ "entry", member }))
            return false;
    state.epoch = offset;
    state.members = body.at("members").get<std::set<std::string>>();
    return true;
}

bool applyLease(naive_state& state, std::uint64_t offset, const json& body)
{
    const auto current = state.leases.find(body.at("duty"));
    if (body.at("previous_fence") != (current == state.leases.end() ? 0 : current->second.second)
        || !state.objects.contains({ "entry", body.at("holder") }))
        return false;
    state.leases[body.at("duty")] = { body.at("holder"), offset };
    return true;
}

} // namespace

fold_outcome naiveFold(naive_state& state, std::uint64_t offset, const std::string& text)
{
    const json record = json::parse(text, nullptr, false);
    if (!record.is_object() || !record.contains("id"))
        return fold_outcome::Malformed;
    if (!state.ids.insert(record.at("id")).second)
        return fold_outcome::Duplicate;
    const std::string kind = record.at("kind");
    const json& body = record.at("body");
    bool accepted = kind == "snapshot";
    if (kind == "change")
        accepted = applyChange(state, offset, body);
    else if (kind == "epoch")
        accepted = applyEpoch(state, offset, body);
    else if (kind == "lease")
        accepted = applyLease(state, offset, body);
    else if (kind == "plan")
        accepted = applyPlan(state, body);
    else if (!accepted)
        return fold_outcome::UnknownKind;
    return accepted ? fold_outcome::Accepted : fold_outcome::Rejected;
}

naive_state toNaiveState(const fleet_state& state)
{
    naive_state result;
    result.revision = state.revision;
    for (const declared_object& object : listObjects(state)) {
        const object_ref ref = refOf(object.value);
        result.objects[{ std::string(nameOf(ref.kind)), ref.name }] = formatObject(object, newestSchema);
    }
    result.epoch = state.epoch.number;
    result.members = { state.epoch.members.begin(), state.epoch.members.end() };
    for (const auto& [duty, grant] : state.leases)
        result.leases[duty] = { grant.holder, grant.fence };
    for (const auto& [key, copy] : state.plan)
        result.plan[key] = copy.pinned;
    return result;
}

} // namespace sagesaddle::testing
