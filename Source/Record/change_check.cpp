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
            m_put.emplace(refOf(object.value), &object.value);
        m_removed.insert(change.remove.begin(), change.remove.end());
        for (const auto& [ref, object] : m_put)
            m_touched[ref.kind].insert(ref.name);
        for (const object_ref& ref : m_removed)
            m_touched[ref.kind].insert(ref.name);
    }

    const fleet_state& state() const { return m_state; }

    // Whether the change puts or removes the object.
    bool isTouched(object_kind kind, const std::string& name) const
    {
        const auto names = m_touched.find(kind);
        return names != m_touched.end() && names->second.contains(name);
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

    // Calls `use` with each object of type `Object` that the change puts.
    template <typename Object, typename Use> void forEachPut(Use use) const
    {
        for (const auto& [ref, object] : m_put)
            if (const auto* value = std::get_if<Object>(object))
                use(*value);
    }

    // Calls `use` with each object of type `Object` that the change puts, and with each one of `table` that
    // the change leaves alone and for which `isConcerned` is true.
    template <typename Object, typename Table, typename IsConcerned, typename Use>
    void forEach(const Table& table, IsConcerned isConcerned, Use use) const
    {
        forEachPut<Object>(use);
        for (const auto& [key, value] : table) {
            if (!isConcerned(value))
                continue;
            const object_ref ref = refOf(value);
            if (!isTouched(ref.kind, ref.name))
                use(value);
        }
    }

private:
    template <typename Object, typename Table>
    const Object* find(object_kind kind, const Table& table, const std::string& name) const
    {
        if (isTouched(kind, name)) {
            const auto put = m_put.find({ kind, name });
            return put == m_put.end() ? nullptr : &std::get<Object>(*put->second);
        }
        const auto unchanged = table.find(name);
        return unchanged == table.end() ? nullptr : &unchanged->second;
    }

    const fleet_state& m_state;
    std::map<object_ref, const fleet_object*> m_put;
    std::set<object_ref> m_removed;
    std::map<object_kind, std::set<std::string>> m_touched;
};

std::string missingReference(const fleet_object& object, const object_ref& needed, const std::string& problem)
{
    return formatRef(refOf(object)) + " needs " + formatRef(needed) + ", " + problem;
}

std::string checkModel(const changed_objects& objects, const model& value)
{
    if (value.base.empty())
        return {};
    const model* base = objects.findModel(value.base);
    if (!base)
        return missingReference(value, { object_kind::Model, value.base }, "which does not exist");
    if (!base->base.empty())
        return missingReference(value, { object_kind::Model, value.base }, "which is itself an adapter");
    return {};
}

std::string checkPlacement(const changed_objects& objects, const placement& value)
{
    if (!objects.findModel(value.model))
        return missingReference(value, { object_kind::Model, value.model }, "which does not exist");
    const upstream* engine = objects.findUpstream(value.upstream);
    if (!engine)
        return missingReference(value, { object_kind::Upstream, value.upstream }, "which does not exist");
    if (engine->kind != upstream_kind::Engine)
        return missingReference(value, { object_kind::Upstream, value.upstream }, "which is not an engine");
    return {};
}

std::string checkKey(const changed_objects& objects, const api_key& value)
{
    if (!objects.findTeam(value.team))
        return missingReference(value, { object_kind::Team, value.team }, "which does not exist");
    return {};
}

// Runs `check` on the objects that `forEach` visits. Returns the first reason that it gives; empty if there
// is none.
template <typename Object, typename Table, typename IsConcerned, typename Check>
std::string firstFailure(
    const changed_objects& objects, const Table& table, IsConcerned isConcerned, Check check)
{
    std::string reason;
    objects.forEach<Object>(table, isConcerned, [&](const Object& value) {
        if (reason.empty())
            reason = check(objects, value);
    });
    return reason;
}

std::string checkKeys(const changed_objects& objects)
{
    const auto isOfTouchedTeam
        = [&](const api_key& value) { return objects.isTouched(object_kind::Team, value.team); };
    return firstFailure<api_key>(objects, objects.state().keys, isOfTouchedTeam, checkKey);
}

std::string checkSecrets(const changed_objects& objects)
{
    std::string reason;
    std::map<std::string_view, std::string_view> idsByHash;
    const auto addKey = [&](std::string_view hash, std::string_view id) {
        const auto [first, added] = idsByHash.emplace(hash, id);
        if (!added)
            reason = "key \"" + std::string(id) + "\" and key \"" + std::string(first->second)
                + "\" have the same secret; give each key its own";
    };
    objects.forEachPut<api_key>([&](const api_key& value) {
        addKey(value.secretSha256, value.id);
        const auto current = objects.state().keys.find(value.secretSha256);
        if (current != objects.state().keys.end() && !objects.isTouched(object_kind::Key, current->second.id))
            addKey(current->first, current->second.id);
    });
    return reason;
}

std::string checkModels(const changed_objects& objects)
{
    const auto hasTouchedBase
        = [&](const model& value) { return objects.isTouched(object_kind::Model, value.base); };
    return firstFailure<model>(objects, objects.state().models, hasTouchedBase, checkModel);
}

bool refersToTouched(const changed_objects& objects, const placement& value)
{
    return objects.isTouched(object_kind::Model, value.model)
        || objects.isTouched(object_kind::Upstream, value.upstream);
}

std::string checkPlacements(const changed_objects& objects)
{
    const auto isConcerned = [&](const placement& value) { return refersToTouched(objects, value); };
    return firstFailure<placement>(objects, objects.state().placements, isConcerned, checkPlacement);
}

// Whether the change may remove the last upstream of a service, or puts a route to a service.
bool mayBreakRoutes(const changed_objects& objects, const change_record& change)
{
    bool mayBreak = false;
    objects.forEachPut<route>([&](const route&) { mayBreak = true; });
    const auto check = [&](const object_ref& ref) {
        if (ref.kind != object_kind::Upstream)
            return;
        const auto current = objects.state().upstreams.find(ref.name);
        mayBreak |= current != objects.state().upstreams.end() && !current->second.service.empty();
    };
    for (const declared_object& object : change.put)
        check(refOf(object.value));
    for (const object_ref& ref : change.remove)
        check(ref);
    return mayBreak;
}

std::string checkRoutes(const changed_objects& objects, const change_record& change)
{
    if (!mayBreakRoutes(objects, change))
        return {};
    const auto isService = [](const upstream& value) { return !value.service.empty(); };
    std::set<std::string> services;
    objects.forEach<upstream>(
        objects.state().upstreams, isService, [&](const upstream& value) { services.insert(value.service); });
    const auto check = [&](const changed_objects&, const route& value) {
        return services.contains(value.service) ? std::string()
                                                : "route \"" + value.pathPrefix + "\" needs service \""
                + value.service + "\", which no upstream offers";
    };
    return firstFailure<route>(
        objects, objects.state().routes, [](const route&) { return true; }, check);
}

// The upstreams whose placed models may need more memory than the upstream has after the change.
std::set<std::string> upstreamsWithChangedMemory(const changed_objects& objects)
{
    std::set<std::string> names;
    objects.forEachPut<upstream>([&](const upstream& value) { names.insert(value.name); });
    const auto isOfTouchedModel
        = [&](const placement& value) { return objects.isTouched(object_kind::Model, value.model); };
    objects.forEach<placement>(objects.state().placements, isOfTouchedModel,
        [&](const placement& value) { names.insert(value.upstream); });
    return names;
}

std::string checkMemory(const changed_objects& objects)
{
    const std::set<std::string> names = upstreamsWithChangedMemory(objects);
    if (names.empty())
        return {};
    std::map<std::string_view, std::uint64_t> requiredMb;
    const auto isConcerned = [&](const placement& value) { return names.contains(value.upstream); };
    objects.forEach<placement>(objects.state().placements, isConcerned, [&](const placement& value) {
        if (const model* placed = objects.findModel(value.model))
            requiredMb[value.upstream] += placed->memoryMb;
    });
    for (const auto& [name, totalMb] : requiredMb) {
        const upstream* engine = objects.findUpstream(std::string(name));
        if (engine && totalMb > engine->memoryMb)
            return "upstream \"" + engine->name + "\" has " + std::to_string(engine->memoryMb)
                + " MB, but the models placed on it need " + std::to_string(totalMb) + " MB";
    }
    return {};
}

std::string checkObjects(const changed_objects& objects, const change_record& change)
{
    std::string reason = checkKeys(objects);
    if (reason.empty())
        reason = checkSecrets(objects);
    if (reason.empty())
        reason = checkModels(objects);
    if (reason.empty())
        reason = checkPlacements(objects);
    if (reason.empty())
        reason = checkRoutes(objects, change);
    if (reason.empty())
        reason = checkMemory(objects);
    return reason;
}

std::string checkNamesUnique(const change_record& change)
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
            return formatRef(ref) + " cannot be removed: it does not exist";
    return {};
}

// An operator's stale file must not make a withdrawn key valid again.
std::string checkWithdrawals(const fleet_state& state, const change_record& change)
{
    for (const declared_object& object : change.put) {
        const auto* key = std::get_if<api_key>(&object.value);
        if (!key || key->withdrawn)
            continue;
        const auto current = state.keys.find(key->secretSha256);
        if (current != state.keys.end() && current->second.withdrawn)
            return "key \"" + key->id + "\" was withdrawn, which is final; create a new key";
    }
    return {};
}

} // namespace

std::string findConflict(const fleet_state& state, const change_record& change)
{
    std::string reason = checkNamesUnique(change);
    if (reason.empty())
        reason = checkRemovals(state, change);
    if (reason.empty())
        reason = checkWithdrawals(state, change);
    if (reason.empty())
        reason = checkObjects(changed_objects(state, change), change);
    return reason;
}

} // namespace sagesaddle
