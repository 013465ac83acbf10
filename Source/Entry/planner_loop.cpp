#include "Entry/planner_loop.h"

#include "Watch/log.h"
#include "Watch/metric_registry.h"

#include <utility>

namespace sagesaddle {

namespace {

constexpr milliseconds appendTimeout { 1000 };
/// Pause after an append failed.
constexpr milliseconds failurePause { 2000 };
// Fraction of one core's time that planning may take.
constexpr double maxTimeFraction = 0.02;

std::string_view nameOf(plan_action action)
{
    switch (action) {
    case plan_action::Add:
        return "add";
    case plan_action::Remove:
        return "remove";
    case plan_action::Pin:
        return "pin";
    case plan_action::Unpin:
        return "unpin";
    }
    return "none";
}

} // namespace

planner_loop::planner_loop(const options& settings, services dependencies)
    : m_settings(settings)
    , m_services(std::move(dependencies))
    , m_log(settings.log, appendTimeout)
    , m_planner(settings.planner)
    , m_lease({ .self = settings.self })
    , m_pacer(maxTimeFraction)
{
}

void planner_loop::onLink(const std::string& upstream, bool up)
{
    const std::lock_guard lock(m_mutex);
    m_viewBuilder.onLink(upstream, up, monotonicNow());
}

void planner_loop::onLeaving(const std::string& upstream)
{
    const std::lock_guard lock(m_mutex);
    m_viewBuilder.onLeaving(upstream);
}

void planner_loop::step()
{
    const monotonic_time now = monotonicNow();
    const fleet_state_ptr state = m_services.state();
    const freshness stateFreshness = m_services.freshnessAt(now);
    if (!state || !stateFreshness.isFresh || stateFreshness.isLogUnreachable)
        return;
    reportPendingPlan(*state);
    m_lease.onState(*state, now);
    if (now < m_pausedUntil || !m_services.mayPlan())
        return;
    if (const auto leaseRecord = m_lease.nextRecord(now)) {
        if (const auto offset = appendRecord(*leaseRecord))
            m_lease.onAppended(now, *offset);
        return;
    }
    const auto fence = m_lease.fence(now);
    if (fence && !m_pendingPlan && m_pacer.isDue(now))
        runPass(*state, *fence, now);
}

// Logs and counts whether the last plan was applied, once a state contains its record.
void planner_loop::reportPendingPlan(const fleet_state& state)
{
    if (!m_pendingPlan || state.nextOffset <= m_pendingPlan->offset)
        return;
    const pending_plan plan = std::move(*std::exchange(m_pendingPlan, std::nullopt));
    if (!isPlanApplied(state, plan.record)) {
        writeLog(log_level::Warning, "a plan was rejected", { { "offset", plan.offset } });
        m_services.metrics.add("sagesaddle_plans_rejected_total", "Plans that the log's order made void.");
        return;
    }
    for (const plan_step& step : plan.steps) {
        writeLog(log_level::Info, "a copy is planned",
            { { "action", nameOf(step.action) }, { "model", step.model }, { "upstream", step.upstream },
                { "reason", step.reason } });
        m_services.metrics.add("sagesaddle_plan_steps_total", "Steps of the plan that were carried out.",
            { { "action", std::string(nameOf(step.action)) }, { "reason", step.reason } });
    }
}

std::optional<plan_view> planner_loop::buildView(const fleet_state& state, monotonic_time now)
{
    const auto loadReports = m_services.loadReports();
    const std::lock_guard lock(m_mutex);
    if (!m_viewBuilder.isComplete(state, loadReports, now))
        return std::nullopt;
    return m_viewBuilder.makeView(state, loadReports, now);
}

void planner_loop::runPass(const fleet_state& state, std::uint64_t fence, monotonic_time now)
{
    const auto view = buildView(state, now);
    if (!view)
        return;
    auto steps = m_planner.plan(*view, now);
    m_pacer.onPass(now, monotonicNow());
    auto record = makePlanRecord(state, fence, steps);
    if (record.add.empty() && record.remove.empty())
        return;
    if (const auto offset = appendRecord(record))
        m_pendingPlan = pending_plan { *offset, std::move(record), std::move(steps) };
}

std::optional<std::uint64_t> planner_loop::appendRecord(const record_body& body)
{
    try {
        return m_log
            .append(m_settings.stream, { formatRecord({ makeRecordId(), defaultRecordSchema, body }) })
            .first;
    } catch (const log_error& error) {
        writeLog(log_level::Warning, "the planner cannot append to the log; retrying in 2 s",
            { { "error", error.what() } });
        m_pausedUntil = monotonicNow() + failurePause;
        return std::nullopt;
    }
}

} // namespace sagesaddle
