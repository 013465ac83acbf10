#include "Record/fold.h"

#include "Base/overloaded.h"
#include "Record/change_check.h"
#include "Record/log_record.h"
#include "Record/object_table.h"
#include "Record/plan_check.h"
#include "Record/record_error.h"

#include <stdexcept>

namespace sagesaddle {

namespace {

// Removes old ids in batches. When it does so depends on the folded records alone, so that equal prefixes of
// the log give equal states.
void rememberId(fleet_state& state, std::uint64_t offset, const std::string& id)
{
    state.recentIds.emplace(id, offset);
    if (state.recentIds.size() <= 2 * idRetentionOffsets)
        return;
    std::erase_if(
        state.recentIds, [&](const auto& item) { return item.second + idRetentionOffsets < offset; });
}

std::string applyChange(fleet_state& state, std::uint64_t offset, const change_record& change)
{
    if (change.baseRevision != state.revision)
        return "made against revision " + std::to_string(change.baseRevision) + ", but the current one is "
            + std::to_string(state.revision);
    std::string conflict = findConflict(state, change);
    if (!conflict.empty())
        return conflict;
    for (const object_ref& ref : change.remove)
        removeObject(state, ref);
    for (const declared_object& object : change.put)
        removeObject(state, refOf(object.value));
    for (const declared_object& object : change.put)
        putObject(state, object);
    state.revision = offset + 1;
    prunePlan(state);
    return {};
}

std::string applyEpoch(fleet_state& state, std::uint64_t offset, const epoch_record& epoch)
{
    if (epoch.previous != state.epoch.number)
        return "replaces epoch " + std::to_string(epoch.previous) + ", but the current one is "
            + std::to_string(state.epoch.number);
    for (const std::string& member : epoch.members)
        if (!state.entries.contains(member))
            return "entry \"" + member + "\" is not declared";
    state.pastEpochs.push_back(std::move(state.epoch));
    if (state.pastEpochs.size() > maxPastEpochs)
        state.pastEpochs.erase(state.pastEpochs.begin());
    state.epoch = { offset, epoch.members, epoch.runs };
    return {};
}

std::string applyLease(fleet_state& state, std::uint64_t offset, const lease_record& lease)
{
    const auto current = state.leases.find(lease.duty);
    const std::uint64_t fence = current == state.leases.end() ? 0 : current->second.fence;
    if (lease.previousFence != fence)
        return "replaces fence " + std::to_string(lease.previousFence) + " of lease \"" + lease.duty
            + "\", but the current one is " + std::to_string(fence);
    if (!state.entries.contains(lease.holder))
        return "entry \"" + lease.holder + "\" is not declared";
    state.leases[lease.duty] = { lease.holder, offset };
    return {};
}

std::string applyPlan(fleet_state& state, const plan_record& plan)
{
    std::string conflict = findConflict(state, plan);
    if (!conflict.empty())
        return conflict;
    for (const auto& key : plan.remove)
        state.plan.erase(key);
    for (const placement& copy : plan.add)
        state.plan.insert_or_assign({ copy.model, copy.upstream }, copy);
    return {};
}

// Returns why the body was not accepted; empty if it was. A snapshot changes nothing, since a reader that
// folds it has folded the records that it sums up. A record of an unknown kind changes nothing and is
// reported.
std::string apply(fleet_state& state, std::uint64_t offset, const record_body& body)
{
    return std::visit(
        overloaded {
            [&](const change_record& change) { return applyChange(state, offset, change); },
            [&](const epoch_record& epoch) { return applyEpoch(state, offset, epoch); },
            [&](const lease_record& lease) { return applyLease(state, offset, lease); },
            [&](const plan_record& plan) { return applyPlan(state, plan); },
            [](const snapshot_record&) { return std::string(); },
            [](const unknown_record& unknown) { return "unknown kind \"" + unknown.kind + "\""; },
        },
        body);
}

fold_outcome outcomeOf(const record_body& body, const std::string& reason)
{
    if (std::holds_alternative<unknown_record>(body))
        return fold_outcome::UnknownKind;
    return reason.empty() ? fold_outcome::Accepted : fold_outcome::Rejected;
}

} // namespace

std::string_view nameOf(fold_outcome outcome)
{
    switch (outcome) {
    case fold_outcome::Accepted:
        return "accepted";
    case fold_outcome::Rejected:
        return "rejected";
    case fold_outcome::Duplicate:
        return "duplicate";
    case fold_outcome::UnknownKind:
        return "unknown_kind";
    case fold_outcome::Malformed:
        return "malformed";
    }
    throw std::logic_error("unknown fold_outcome");
}

fold_result fold(fleet_state state, std::uint64_t offset, std::string_view text)
{
    if (offset != state.nextOffset)
        throw std::invalid_argument("the record at offset " + std::to_string(offset)
            + " cannot be folded into a state whose next offset is " + std::to_string(state.nextOffset));
    state.nextOffset = offset + 1;
    try {
        const log_record record = parseRecord(text);
        if (state.recentIds.contains(record.id))
            return { std::move(state), fold_outcome::Duplicate,
                "a record with id \"" + record.id + "\" was folded before" };
        rememberId(state, offset, record.id);
        std::string reason = apply(state, offset, record.body);
        const fold_outcome outcome = outcomeOf(record.body, reason);
        return { std::move(state), outcome, std::move(reason) };
    } catch (const record_error& error) {
        return { std::move(state), fold_outcome::Malformed, error.what() };
    }
}

} // namespace sagesaddle
