#include "Place/engine_model_tracker.h"

#include "Base/http_status.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// Time from an accepted adapter order until the adapter counts as there; it takes 5 to 30 ms.
constexpr milliseconds adapterReadyAfter { 35 };
// How far an engine's report may lie behind.
constexpr milliseconds reportLag { 350 };
// Time between reports while a model loads or leaves.
constexpr milliseconds modelReportDelay { 700 };
// Time after a report that did not come.
constexpr milliseconds failureDelay { 300 };

} // namespace

engine_model_tracker::engine_model_tracker(std::string upstream, engine_config_ptr config)
    : m_upstream(std::move(upstream))
    , m_config(std::move(config))
{
}

void engine_model_tracker::onReport(
    const loaded_models_report& report, monotonic_time askedAt, monotonic_time now)
{
    m_reportPending = false;
    m_summary.reset();
    if (m_outstanding || askedAt < m_lastOrderAt + reportLag) {
        m_reportDueAt = std::min(m_reportDueAt, m_lastOrderAt + reportLag);
        return;
    }
    const auto names = loadedModelRefs(report.models);
    std::set<std::string> held { names.begin(), names.end() };
    std::erase_if(m_leaving, [&](const std::string& name) { return !held.contains(name) || !report.isBusy; });
    std::erase_if(held, [&](const std::string& name) { return m_leaving.contains(name); });
    if (held != m_held)
        ++m_revision;
    m_held = std::move(held);
    m_coming = { report.loadingAdapters.begin(), report.loadingAdapters.end() };
    if (!report.isBusy || m_held.contains(m_loading))
        m_loading.clear();
    m_arriving.clear();
    m_atHand = { report.hostCached.begin(), report.hostCached.end() };
    // A late order is declined once others were accepted after it was written.
    std::erase_if(m_doubtful, [&](const auto& item) { return item.second < report.acceptedOrders; });
    m_report = report;
    const bool isMoving = report.isBusy || !m_coming.empty() || !m_doubtful.empty();
    m_reportDueAt = isMoving ? now + modelReportDelay : monotonic_time::max();
}

void engine_model_tracker::onReportFailed(monotonic_time now)
{
    m_reportPending = false;
    m_reportDueAt = now + failureDelay;
}

void engine_model_tracker::onOrderSent(const model_order& order, monotonic_time now)
{
    m_summary.reset();
    m_outstanding = order;
    m_lastOrderAt = now;
    const std::string name = formatModelRef(order.model, order.adapter);
    if (order.what == model_order::action::Unload && m_held.erase(name) > 0) {
        m_leaving.insert(name);
        ++m_revision;
    }
}

void engine_model_tracker::onOrderAnswered(std::optional<int> status, monotonic_time now)
{
    if (!m_outstanding)
        return;
    m_summary.reset();
    const model_order order = *std::exchange(m_outstanding, std::nullopt);
    const std::string name = formatModelRef(order.model, order.adapter);
    const bool isLoad = order.what == model_order::action::Load;
    m_lastOrderAt = now;
    const bool isAccepted = status == statusAccepted || (status == statusOk && !isLoad);
    if (!status && isLoad)
        m_doubtful[name] = order.expectedOrders;
    if (!isAccepted || !m_report) {
        // The count of orders is not known any more: nothing is ordered before a report tells it.
        m_report.reset();
        m_reportDueAt = now + reportLag;
        return;
    }
    m_report->acceptedOrders += 1;
    std::erase_if(m_doubtful, [&](const auto& item) { return item.second < m_report->acceptedOrders; });
    if (order.adapter.empty()) {
        if (isLoad)
            m_loading = name;
        m_report->isBusy = true;
        m_reportDueAt = now + modelReportDelay;
        return;
    }
    if (isLoad)
        m_arriving[name] = now + adapterReadyAfter;
    else if (status == statusOk)
        m_leaving.erase(name);
    else
        m_reportDueAt = now + reportLag;
}

bool engine_model_tracker::completeAdapterLoads(monotonic_time now)
{
    const std::size_t before = m_arriving.size();
    for (auto entry = m_arriving.begin(); entry != m_arriving.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        m_held.insert(entry->first);
        m_summary.reset();
        ++m_revision;
        entry = m_arriving.erase(entry);
    }
    return m_arriving.size() != before;
}

bool engine_model_tracker::needsReport(monotonic_time now) const
{
    return !m_reportPending && !m_outstanding && now >= m_reportDueAt;
}

bool engine_model_tracker::maySendOrders() const
{
    return m_report && !m_outstanding && !m_report->isBusy;
}

std::set<std::string> engine_model_tracker::everything() const
{
    std::set<std::string> all = m_held;
    all.insert(m_leaving.begin(), m_leaving.end());
    if (!m_loading.empty())
        all.insert(m_loading);
    all.insert(m_coming.begin(), m_coming.end());
    for (const auto& [name, readyAt] : m_arriving)
        all.insert(name);
    for (const auto& [name, expected] : m_doubtful)
        all.insert(name);
    return all;
}

const engine_model_tracker::summary& engine_model_tracker::summarized() const
{
    if (m_summary)
        return *m_summary;
    summary made;
    made.possible = everything();
    made.freeAdapterSlots = m_config->adapterSlots
        - static_cast<int>(std::count_if(made.possible.begin(), made.possible.end(), isAdapterRef));
    made.freeWeightMemoryMb = m_config->weightMemoryMb;
    for (const auto& name : made.possible)
        made.freeWeightMemoryMb -= weightsOf(name);
    made.freeAfterUnloadsMb = made.freeWeightMemoryMb;
    for (const auto& name : m_leaving) {
        made.freeAfterUnloadsMb += weightsOf(name);
        if (!mayBeLoaded(name))
            made.possible.erase(name);
    }
    if (m_outstanding)
        made.possible.insert(formatModelRef(m_outstanding->model, m_outstanding->adapter));
    m_summary = std::move(made);
    return *m_summary;
}

const std::set<std::string>& engine_model_tracker::possiblyLoaded() const
{
    return summarized().possible;
}

bool engine_model_tracker::mayBeLoaded(const std::string& holding) const
{
    return m_held.contains(holding) || m_coming.contains(holding) || m_loading == holding
        || m_doubtful.contains(holding) || m_arriving.contains(holding)
        || (m_outstanding && formatModelRef(m_outstanding->model, m_outstanding->adapter) == holding);
}

int engine_model_tracker::freeAdapterSlots() const
{
    return summarized().freeAdapterSlots;
}

double engine_model_tracker::weightsOf(const std::string& holding) const
{
    const model_ref parts = parseModelRef(holding);
    const model_config* model = m_config->find(parts.model);
    if (model == nullptr)
        return 0;
    return parts.adapter.empty() ? model->weightsMb : model->adapterMb;
}

double engine_model_tracker::freeWeightMemoryMb() const
{
    return summarized().freeWeightMemoryMb;
}

double engine_model_tracker::freeAfterUnloadsMb() const
{
    return summarized().freeAfterUnloadsMb;
}

} // namespace sagesaddle
