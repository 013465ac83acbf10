#include "Record/change_check.h"

#include "Base/overloaded.h"
#include "Record/object_table.h"

#include <map>
#include <set>

namespace sagesaddle {

namespace {

// The declared objects as they would be after a change.
class changed_objects {
public:
    changed_objects(const fleet_state& state, const change_record& change)
        : m_state(state)
    {
        for (const declared_object& object : change.put)
            m_put.emplace(refOf(object.value), &object);
        m_removed.insert(change.remove.begin(), change.remove.end());
    }

    bool isTouched(const object_ref& ref) const { return m_put.contains(ref) || m_removed.contains(ref); }

    template <typename Object, typename Table>
    const Object* find(object_kind kind, const Table& table, const std::string& name) const
    {
        const object_ref ref { kind, name };
        const auto put = m_put.find(ref);
        if (put != m_put.end())
            return &std::get<Object>(put->second->value);
        const auto kept = table.find(name);
        return m_removed.contains(ref) || kept == table.end() ? nullptr : &kept->second;
    }

    const team* findTeam(const std::string& name) const
    {
        return find<team>(object_kind::Team, m_state.teams, name);
    }
    const model* findModel(const std::string& name) const
    {
        return find<model>(object_kind::Model, m_state.models, name);
    }
    const upstream* findUpstream(const std::string& name) const
    {
        return find<upstream>(object_kind::Upstream, m_state.upstreams, name);
    }

    // Calls `use` with each object of a type that stands after the change, new ones first.
    template <typename Object, typename Table, typename Use> void forEach(const Table& table, Use use) const
    {
        for (const auto& [ref, object] : m_put)
            if (const auto* value = std::get_if<Object>(&object->value))
                use(*value);
        for (const auto& item : table)
            if (!isTouched(refOf(item.second)))
                use(item.second);
    }

    std::set<std::string> services() const
    {
        std::set<std::string> names;
        forEach<upstream>(m_state.upstreams, [&](const upstream& value) { names.insert(value.service); });
        return names;
    }

    const fleet_state& state() const { return m_state; }

private:
    const fleet_state& m_state;
    std::map<object_ref, const declared_object*> m_put;
    std::set<object_ref> m_removed;
};

std::string missing(const fleet_object& object, const object_ref& needed, const std::string& what)
{
    return formatRef(refOf(object)) + " needs " + formatRef(needed) + ", " + what;
}

std::string checkModel(const changed_objects& objects, const model& value)
{
    if (value.base.empty())
        return {};
    const model* base = objects.findModel(value.base);
    if (!base)
        return missing(value, { object_kind::Model, value.base }, "which does not exist");
    if (!base->base.empty())
        return missing(value, { object_kind::Model, value.base }, "which is itself an adapter");
    return {};
}

std::string checkPlacement(const changed_objects& objects, const placement& value)
{
    if (!objects.findModel(value.model))
        return missing(value, { object_kind::Model, value.model }, "which does not exist");
    const upstream* host = objects.findUpstream(value.upstream);
    if (!host)
        return missing(value, { object_kind::Upstream, value.upstream }, "which does not exist");
    if (host->kind != upstream_kind::Engine)
        return missing(value, { object_kind::Upstream, value.upstream }, "which is no engine");
    return {};
}

std::string checkKey(const changed_objects& objects, const api_key& value)
{
    if (!objects.findTeam(value.team))
        return missing(value, { object_kind::Team, value.team }, "which does not exist");
    return {};
}

std::string firstOf(const std::string& first, const std::string& second)
{
    return first.empty() ? second : first;
}

// Which kinds of objects a change may have broken.
struct suspects {
    bool keys { false };
    bool models { false };
    bool placements { false };
    bool routes { false };
    bool memory { false };
};

void suspectPut(const fleet_object& object, suspects& result)
{
    std::visit(overloaded {
                   [&](const api_key&) { result.keys = true; },
                   [&](const model&) { result.models = result.memory = true; },
                   [&](const upstream&) { result.placements = result.routes = result.memory = true; },
                   [&](const route&) { result.routes = true; },
                   [&](const placement&) { result.placements = result.memory = true; },
                   [](const auto&) {},
               },
        object);
}

suspects suspectsOf(const change_record& change)
{
    suspects result;
    for (const declared_object& object : change.put)
        suspectPut(object.value, result);
    for (const object_ref& ref : change.remove) {
        result.keys |= ref.kind == object_kind::Team;
        result.models |= ref.kind == object_kind::Model;
        result.placements |= ref.kind == object_kind::Model || ref.kind == object_kind::Upstream;
        result.routes |= ref.kind == object_kind::Upstream;
    }
    return result;
}

std::string checkKeys(const changed_objects& objects)
{
    std::string reason;
    std::map<std::string_view, std::string_view> idsByHash;
    objects.forEach<api_key>(objects.state().keys, [&](const api_key& value) {
        reason = firstOf(reason, checkKey(objects, value));
        const auto [place, added] = idsByHash.emplace(value.secretSha256, value.id);
        if (!added && reason.empty())
            reason = "key \"" + value.id + "\" and key \"" + std::string(place->second)
                + "\" have the same secret; give each its own";
    });
    return reason;
}

std::string checkRoutes(const changed_objects& objects)
{
    std::string reason;
    const std::set<std::string> services = objects.services();
    objects.forEach<route>(objects.state().routes, [&](const route& value) {
        if (reason.empty() && !services.contains(value.service))
            reason = "route \"" + value.pathPrefix + "\" needs service \"" + value.service
                + "\", which no upstream offers";
    });
    return reason;
}

std::string checkMemory(const changed_objects& objects)
{
    std::map<std::string_view, std::uint64_t> placedMb;
    objects.forEach<placement>(objects.state().placements, [&](const placement& value) {
        if (const model* placed = objects.findModel(value.model))
            placedMb[value.upstream] += placed->memoryMb;
    });
    for (const auto& [name, total] : placedMb) {
        const upstream* host = objects.findUpstream(std::string(name));
        if (host && total > host->memoryMb)
            return "upstream \"" + host->name + "\" has " + std::to_string(host->memoryMb)
                + " MB, but the models placed on it need " + std::to_string(total) + " MB";
    }
    return {};
}

template <typename Object, typename Table, typename Check>
std::string checkEach(const changed_objects& objects, const Table& table, Check check)
{
    std::string reason;
    objects.forEach<Object>(table, [&](const Object& value) {
        if (reason.empty())
            reason = check(objects, value);
    });
    return reason;
}

std::string checkObjects(const changed_objects& objects, const suspects& broken)
{
    const fleet_state& state = objects.state();
    std::string reason;
    if (broken.keys)
        reason = checkKeys(objects);
    if (broken.models)
        reason = firstOf(reason, checkEach<model>(objects, state.models, checkModel));
    if (broken.placements)
        reason = firstOf(reason, checkEach<placement>(objects, state.placements, checkPlacement));
    if (broken.routes)
        reason = firstOf(reason, checkRoutes(objects));
    if (broken.memory)
        reason = firstOf(reason, checkMemory(objects));
    return reason;
}

std::string checkNamedOnce(const change_record& change)
{
    std::set<object_ref> named;
    for (const declared_object& object : change.put)
        if (!named.insert(refOf(object.value)).second)
            return formatRef(refOf(object.value)) + " is declared twice";
    for (const object_ref& ref : change.remove)
        if (!named.insert(ref).second)
            return formatRef(ref) + " is removed twice, or declared and removed";
    return {};
}

std::string checkRemovals(const fleet_state& state, const change_record& change)
{
    for (const object_ref& ref : change.remove)
        if (!findObject(state, ref))
            return formatRef(ref) + " is to be removed but does not exist";
    return {};
}

// A stale file of an operator must not bring a withdrawn key back.
std::string checkWithdrawals(const fleet_state& state, const change_record& change)
{
    for (const declared_object& object : change.put) {
        const auto* key = std::get_if<api_key>(&object.value);
        if (!key || key->withdrawn)
            continue;
        const auto held = state.keys.find(key->secretSha256);
        if (held != state.keys.end() && held->second.withdrawn)
            return "key \"" + key->id + "\" was withdrawn, which is final; make a new key";
    }
    return {};
}

} // namespace

std::string findConflict(const fleet_state& state, const change_record& change)
{
    std::string reason = checkNamedOnce(change);
    if (reason.empty())
        reason = checkRemovals(state, change);
    if (reason.empty())
        reason = checkWithdrawals(state, change);
    if (reason.empty())
        reason = checkObjects(changed_objects(state, change), suspectsOf(change));
    return reason;
}

} // namespace sagesaddle
