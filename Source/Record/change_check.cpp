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

    // Whether an object is put or removed.
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

    // Calls `use` with each object of a type that is put.
    template <typename Object, typename Use> void forEachPut(Use use) const
    {
        for (const auto& [ref, object] : m_put)
            if (const auto* value = std::get_if<Object>(object))
                use(*value);
    }

    // Calls `use` with each object that is put, and each that stays and of which `isConcerned` holds.
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
        const auto kept = table.find(name);
        return kept == table.end() ? nullptr : &kept->second;
    }

    const fleet_state& m_state;
    std::map<object_ref, const fleet_object*> m_put;
    std::set<object_ref> m_removed;
    std::map<object_kind, std::set<std::string>> m_touched;
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

// Runs `check` on each object that is put, and on each that stays and is concerned; the first reason found.
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
    const auto use = [&](std::string_view hash, std::string_view id) {
        const auto [place, added] = idsByHash.emplace(hash, id);
        if (!added)
            reason = "key \"" + std::string(id) + "\" and key \"" + std::string(place->second)
                + "\" have the same secret; give each its own";
    };
    objects.forEachPut<api_key>([&](const api_key& value) {
        use(value.secretSha256, value.id);
        const auto held = objects.state().keys.find(value.secretSha256);
        if (held != objects.state().keys.end() && !objects.isTouched(object_kind::Key, held->second.id))
            use(held->first, held->second.id);
    });
    return reason;
}

std::string checkModels(const changed_objects& objects)
{
    const auto hasTouchedBase
        = [&](const model& value) { return objects.isTouched(object_kind::Model, value.base); };
    return firstFailure<model>(objects, objects.state().models, hasTouchedBase, checkModel);
}

bool isOfTouched(const changed_objects& objects, const placement& value)
{
    return objects.isTouched(object_kind::Model, value.model)
        || objects.isTouched(object_kind::Upstream, value.upstream);
}

std::string checkPlacements(const changed_objects& objects)
{
    const auto isConcerned = [&](const placement& value) { return isOfTouched(objects, value); };
    return firstFailure<placement>(objects, objects.state().placements, isConcerned, checkPlacement);
}

// Whether a change may have taken the last upstream away from a service, or leads a route to one.
bool concernsRoutes(const changed_objects& objects, const change_record& change)
{
    bool concerned = false;
    objects.forEachPut<route>([&](const route&) { concerned = true; });
    const auto check = [&](const object_ref& ref) {
        if (ref.kind != object_kind::Upstream)
            return;
        const auto held = objects.state().upstreams.find(ref.name);
        concerned |= held != objects.state().upstreams.end() && !held->second.service.empty();
    };
    for (const declared_object& object : change.put)
        check(refOf(object.value));
    for (const object_ref& ref : change.remove)
        check(ref);
    return concerned;
}

std::string checkRoutes(const changed_objects& objects, const change_record& change)
{
    if (!concernsRoutes(objects, change))
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

// The upstreams whose placed models may need more than they have.
std::set<std::string> upstreamsToSum(const changed_objects& objects)
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
    const std::set<std::string> concerned = upstreamsToSum(objects);
    if (concerned.empty())
        return {};
    std::map<std::string_view, std::uint64_t> placedMb;
    const auto isConcerned = [&](const placement& value) { return concerned.contains(value.upstream); };
    objects.forEach<placement>(objects.state().placements, isConcerned, [&](const placement& value) {
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
        reason = checkObjects(changed_objects(state, change), change);
    return reason;
}

} // namespace sagesaddle
