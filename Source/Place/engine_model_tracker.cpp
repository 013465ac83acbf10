#include "Place/engine_model_tracker.h"

#include "Base/http_status.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// Time from an accepted order to load an adapter until it counts as loaded; loading takes 5 to 30 ms.
constexpr milliseconds adapterLoadTime { 35 };
// Longest time by which a report lags behind the state of the engine.
constexpr milliseconds maxReportLag { 350 };
// Time between reports while the engine loads or unloads.
constexpr milliseconds busyReportInterval { 700 };
// Time from a failed report to the next request for one.
constexpr milliseconds reportRetryDelay { 300 };

} // namespace

engine_model_tracker::engine_model_tracker(std::string upstream, engine_config_ptr config)
    : m_upstream(std::move(upstream))
    , m_config(std::move(config))
{
}

void engine_model_tracker::onReport(
    const loaded_models_report& report, monotonic_time requestedAt, monotonic_time now)
{
    m_reportPending = false;
    m_summary.reset();
    if (m_unansweredOrder || requestedAt < m_lastOrderAt + maxReportLag) {
        m_reportDueAt = std::min(m_reportDueAt, m_lastOrderAt + maxReportLag);
        return;
    }
    const auto refs = loadedModelRefs(report.models);
    std::set<std::string> loaded { refs.begin(), refs.end() };
    std::erase_if(
        m_unloading, [&](const std::string& name) { return !loaded.contains(name) || !report.isBusy; });
    std::erase_if(loaded, [&](const std::string& name) { return m_unloading.contains(name); });
    if (loaded != m_loaded)
        ++m_revision;
    m_loaded = std::move(loaded);
    m_loadingAdapters = { report.loadingAdapters.begin(), report.loadingAdapters.end() };
    if (!report.isBusy || m_loaded.contains(m_loadingModel))
        m_loadingModel.clear();
    m_adapterReadyAt.clear();
    m_hostCached = { report.hostCached.begin(), report.hostCached.end() };
    // The engine rejects a delayed order if it accepted another one after that was written.
    std::erase_if(m_unconfirmedLoads, [&](const auto& load) { return load.second < report.acceptedOrders; });
    m_report = report;
    const bool isChanging = report.isBusy || !m_loadingAdapters.empty() || !m_unconfirmedLoads.empty();
    m_reportDueAt = isChanging ? now + busyReportInterval : monotonic_time::max();
}

void engine_model_tracker::onReportFailed(monotonic_time now)
{
    m_reportPending = false;
    m_reportDueAt = now + reportRetryDelay;
}

void engine_model_tracker::onOrderSent(const model_order& order, monotonic_time now)
{
    m_summary.reset();
    m_unansweredOrder = order;
    m_lastOrderAt = now;
    const std::string name = formatModelRef(order.model, order.adapter);
    if (order.what == model_order::action::Unload && m_loaded.erase(name) > 0) {
        m_unloading.insert(name);
        ++m_revision;
    }
}

void engine_model_tracker::onOrderAnswered(std::optional<int> status, monotonic_time now)
{
    if (!m_unansweredOrder)
        return;
    m_summary.reset();
    const model_order order = *std::exchange(m_unansweredOrder, std::nullopt);
    const std::string name = formatModelRef(order.model, order.adapter);
    const bool isLoad = order.what == model_order::action::Load;
    m_lastOrderAt = now;
    const bool isAccepted = status == statusAccepted || (status == statusOk && !isLoad);
    if (!status && isLoad)
        m_unconfirmedLoads[name] = order.expectedOrders;
    if (!isAccepted || !m_report) {
        // The number of accepted orders is unknown until the next report; no order is sent before that.
        m_report.reset();
        m_reportDueAt = now + maxReportLag;
        return;
    }
    m_report->acceptedOrders += 1;
    std::erase_if(
        m_unconfirmedLoads, [&](const auto& load) { return load.second < m_report->acceptedOrders; });
    if (order.adapter.empty()) {
        if (isLoad)
            m_loadingModel = name;
        m_report->isBusy = true;
        m_reportDueAt = now + busyReportInterval;
        return;
    }
    if (isLoad)
        m_adapterReadyAt[name] = now + adapterLoadTime;
    else if (status == statusOk)
        m_unloading.erase(name);
    else
        m_reportDueAt = now + maxReportLag;
}

bool engine_model_tracker::completeAdapterLoads(monotonic_time now)
{
    const std::size_t before = m_adapterReadyAt.size();
    for (auto entry = m_adapterReadyAt.begin(); entry != m_adapterReadyAt.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        m_loaded.insert(entry->first);
        m_summary.reset();
        ++m_revision;
        entry = m_adapterReadyAt.erase(entry);
    }
    return m_adapterReadyAt.size() != before;
}

bool engine_model_tracker::needsReport(monotonic_time now) const
{
    return !m_reportPending && !m_unansweredOrder && now >= m_reportDueAt;
}

bool engine_model_tracker::maySendOrders() const
{
    return m_report && !m_unansweredOrder && !m_report->isBusy;
}

std::set<std::string> engine_model_tracker::possiblyResident() const
{
    std::set<std::string> all = m_loaded;
    all.insert(m_unloading.begin(), m_unloading.end());
    if (!m_loadingModel.empty())
        all.insert(m_loadingModel);
    all.insert(m_loadingAdapters.begin(), m_loadingAdapters.end());
    for (const auto& [name, readyAt] : m_adapterReadyAt)
        all.insert(name);
    for (const auto& [name, expected] : m_unconfirmedLoads)
        all.insert(name);
    return all;
}

const engine_model_tracker::summary& engine_model_tracker::currentSummary() const
{
    if (m_summary)
        return *m_summary;
    summary result;
    result.possiblyLoaded = possiblyResident();
    result.freeAdapterSlots = m_config->adapterSlots
        - static_cast<int>(
            std::count_if(result.possiblyLoaded.begin(), result.possiblyLoaded.end(), isAdapterRef));
    result.freeWeightMemoryMb = m_config->weightMemoryMb;
    for (const auto& name : result.possiblyLoaded)
        result.freeWeightMemoryMb -= weightMemoryMbOf(name);
    result.freeAfterUnloadsMb = result.freeWeightMemoryMb;
    for (const auto& name : m_unloading) {
        result.freeAfterUnloadsMb += weightMemoryMbOf(name);
        if (!mayBeLoaded(name))
            result.possiblyLoaded.erase(name);
    }
    if (m_unansweredOrder)
        result.possiblyLoaded.insert(formatModelRef(m_unansweredOrder->model, m_unansweredOrder->adapter));
    m_summary = std::move(result);
    return *m_summary;
}

const std::set<std::string>& engine_model_tracker::possiblyLoaded() const
{
    return currentSummary().possiblyLoaded;
}

bool engine_model_tracker::mayBeLoaded(const std::string& modelRef) const
{
    return m_loaded.contains(modelRef) || m_loadingAdapters.contains(modelRef) || m_loadingModel == modelRef
        || m_unconfirmedLoads.contains(modelRef) || m_adapterReadyAt.contains(modelRef)
        || (m_unansweredOrder
            && formatModelRef(m_unansweredOrder->model, m_unansweredOrder->adapter) == modelRef);
}

int engine_model_tracker::freeAdapterSlots() const
{
    return currentSummary().freeAdapterSlots;
}

double engine_model_tracker::weightMemoryMbOf(const std::string& modelRef) const
{
    const model_ref ref = parseModelRef(modelRef);
    const model_config* model = m_config->find(ref.model);
    if (model == nullptr)
        return 0;
    return ref.adapter.empty() ? model->weightsMb : model->adapterMb;
}

double engine_model_tracker::freeWeightMemoryMb() const
{
    return currentSummary().freeWeightMemoryMb;
}

double engine_model_tracker::freeAfterUnloadsMb() const
{
    return currentSummary().freeAfterUnloadsMb;
}

} // namespace sagesaddle
