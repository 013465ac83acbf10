#include "Entry/plan_view_builder.h"

#include <algorithm>

namespace sagesaddle {

namespace {

void applyStep(const plan_step& step, const placement_map& declared, placement_map& plan)
{
    const std::pair key(step.model, step.upstream);
    switch (step.action) {
    case plan_action::Add:
        plan[key] = { step.model, step.upstream, false };
        break;
    case plan_action::Pin:
        plan[key] = { step.model, step.upstream, true };
        break;
    case plan_action::Unpin:
        if (declared.contains(key))
            plan.erase(key);
        else
            plan[key].pinned = false;
        break;
    case plan_action::Remove:
        plan.erase(key);
        break;
    }
}

} // namespace

plan_view_builder::plan_view_builder(options settings)
    : m_settings(settings)
{
}

void plan_view_builder::onLink(const std::string& upstream, bool up, monotonic_time now)
{
    connection_state& connection
        = m_connections.try_emplace(upstream, connection_state { up, now }).first->second;
    if (connection.isUp != up)
        connection = { up, now };
}

void plan_view_builder::onLeaving(const std::string& upstream)
{
    m_leaving.insert(upstream);
}

bool plan_view_builder::isComplete(
    const fleet_state& state, const load_report_map& loadReports, monotonic_time now)
{
    if (!m_started) {
        m_started = true;
        m_startedAt = now;
    }
    if (now - m_startedAt >= m_settings.warmUp)
        return true;
    return std::all_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto& item) {
        const auto& [name, record] = item;
        const auto found = m_connections.find(name);
        return record.kind != upstream_kind::Engine || record.leaving
            || (found != m_connections.end() && found->second.isUp && loadReports.contains(name));
    });
}

plan_upstream plan_view_builder::makePlanUpstream(
    const upstream& record, const load_report_map& loadReports, monotonic_time now)
{
    plan_upstream result { record.name, record.zone, record.memoryMb, true, {} };
    const connection_state& connection
        = m_connections.try_emplace(record.name, connection_state { false, now }).first->second;
    const bool isDisconnected = !connection.isUp && now - connection.since >= m_settings.disconnectTimeout;
    result.usable = !isDisconnected && !record.leaving && !m_leaving.contains(record.name);
    const auto load = loadReports.find(record.name);
    if (load == loadReports.end())
        return result;
    const bool isReportStale = milliseconds(load->second.reportAgeMs) >= m_settings.maxEngineReportAge;
    result.usable = result.usable && !load->second.draining && !isReportStale;
    result.resident = { load->second.residentModels.begin(), load->second.residentModels.end() };
    return result;
}

// Sums up the demand for each model over the connected upstreams. Requests that a disconnected upstream had
// reported go to the others now, which report them; counting them there too would double them.
std::map<std::string, double> plan_view_builder::demandByModel(
    const fleet_state& state, const load_report_map& loadReports) const
{
    std::map<std::string, double> sums;
    for (const auto& [name, load] : loadReports) {
        const auto found = m_connections.find(name);
        if (!state.upstreams.contains(name) || found == m_connections.end() || !found->second.isUp)
            continue;
        for (const model_use& use : load.modelUses)
            sums[use.model] += use.tokensPerSecond;
    }
    return sums;
}

plan_view plan_view_builder::makeView(
    const fleet_state& state, const load_report_map& loadReports, monotonic_time now)
{
    // A host that comes back under the same name was removed from the records in between, so it is usable
    // again.
    std::erase_if(m_leaving, [&](const std::string& name) { return !state.upstreams.contains(name); });
    plan_view result;
    auto demand = demandByModel(state, loadReports);
    for (const auto& [name, record] : state.models)
        result.models.push_back({ name, record.base, record.memoryMb, demand[name] });
    for (const auto& [name, record] : state.upstreams)
        if (record.kind == upstream_kind::Engine)
            result.upstreams.push_back(makePlanUpstream(record, loadReports, now));
    for (const auto& [key, copy] : effectivePlacements(state))
        result.copies.push_back({ copy.model, copy.upstream, copy.pinned, state.placements.contains(key) });
    return result;
}

plan_record makePlanRecord(const fleet_state& state, std::uint64_t fence, const std::vector<plan_step>& steps)
{
    placement_map plan = state.plan;
    for (const plan_step& step : steps)
        applyStep(step, state.placements, plan);
    plan_record record { fence, {}, {} };
    for (const auto& [key, copy] : plan) {
        const auto before = state.plan.find(key);
        if (before == state.plan.end() || before->second != copy)
            record.add.push_back(copy);
    }
    for (const auto& [key, copy] : state.plan)
        if (!plan.contains(key))
            record.remove.push_back(key);
    return record;
}

bool isPlanApplied(const fleet_state& state, const plan_record& record)
{
    const auto isThere = [&](const placement& copy) {
        const auto found = state.plan.find({ copy.model, copy.upstream });
        return found != state.plan.end() && found->second == copy;
    };
    return std::all_of(record.add.begin(), record.add.end(), isThere)
        && std::none_of(record.remove.begin(), record.remove.end(),
            [&](const auto& key) { return state.plan.contains(key); });
}

} // namespace sagesaddle
