#include "Place/engine_book.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// Time from an accepted adapter order to the report that shows it; an adapter takes 5 to 30 ms.
constexpr milliseconds adapterReportDelay { 40 };
// Time between reports while a model loads.
constexpr milliseconds modelReportDelay { 700 };
// Time after a report that did not come, or an order that failed.
constexpr milliseconds failureDelay { 300 };

bool isAdapter(const std::string& holding)
{
    return holding.find('/') != std::string::npos;
}

} // namespace

std::string holdingName(const std::string& model, const std::string& adapter)
{
    return adapter.empty() ? model : model + "/" + adapter;
}

engine_book::engine_book(std::string upstream, engine_config config)
    : m_upstream(std::move(upstream))
    , m_config(std::move(config))
{
}

void engine_book::onReport(const engine_report& report, monotonic_time askedAt, monotonic_time now)
{
    m_reportPending = false;
    if (m_outstanding || askedAt < m_lastOrderAt)
        return;
    std::set<std::string> held;
    for (const auto& model : report.models) {
        held.insert(model.name);
        for (const auto& adapter : model.adapters)
            held.insert(holdingName(model.name, adapter));
    }
    std::erase_if(m_leaving, [&](const std::string& name) { return !held.contains(name) || !report.isBusy; });
    std::erase_if(held, [&](const std::string& name) { return m_leaving.contains(name); });
    if (held != m_held)
        ++m_revision;
    m_held = std::move(held);
    m_coming = { report.coming.begin(), report.coming.end() };
    // A late order is declined once others were accepted after it was written.
    std::erase_if(m_doubtful, [&](const auto& item) { return item.second < report.orders; });
    m_report = report;
    const bool isMoving = report.isBusy || !m_coming.empty();
    m_reportDueAt
        = !isMoving ? monotonic_time::max() : now + (report.isBusy ? modelReportDelay : adapterReportDelay);
}

void engine_book::onReportLost(monotonic_time now)
{
    m_reportPending = false;
    m_reportDueAt = now + failureDelay;
}

void engine_book::onOrderSent(const engine_order& order, monotonic_time now)
{
    m_outstanding = order;
    m_lastOrderAt = now;
    const std::string name = holdingName(order.model, order.adapter);
    if (order.what == engine_order::action::Unload && m_held.erase(name) > 0) {
        m_leaving.insert(name);
        ++m_revision;
    }
}

void engine_book::onOrderAnswered(std::optional<int> status, monotonic_time now)
{
    if (!m_outstanding)
        return;
    const engine_order order = *std::exchange(m_outstanding, std::nullopt);
    const std::string name = holdingName(order.model, order.adapter);
    const bool isLoad = order.what == engine_order::action::Load;
    m_lastOrderAt = now;
    const bool accepted = status && *status >= 200 && *status < 300;
    if (accepted && isLoad)
        m_coming.insert(name);
    if (!status && isLoad)
        m_doubtful[name] = order.expectedOrders;
    if (accepted)
        m_reportDueAt = now + (order.adapter.empty() ? modelReportDelay / 4 : adapterReportDelay);
    else
        m_reportDueAt = now + failureDelay / 2;
    // Nothing is ordered on the old count of orders.
    m_report.reset();
}

bool engine_book::wantsReport(monotonic_time now) const
{
    return !m_reportPending && !m_outstanding && now >= m_reportDueAt;
}

bool engine_book::mayOrder(monotonic_time) const
{
    return m_report && !m_outstanding && !m_report->isBusy;
}

std::set<std::string> engine_book::everything() const
{
    std::set<std::string> all = m_held;
    all.insert(m_leaving.begin(), m_leaving.end());
    all.insert(m_coming.begin(), m_coming.end());
    for (const auto& [name, expected] : m_doubtful)
        all.insert(name);
    return all;
}

bool engine_book::mayHold(const std::string& holding) const
{
    return m_held.contains(holding) || m_coming.contains(holding) || m_doubtful.contains(holding)
        || (m_outstanding && holdingName(m_outstanding->model, m_outstanding->adapter) == holding);
}

int engine_book::freeAdapterPlaces() const
{
    const auto all = everything();
    return m_config.adapterSlots - static_cast<int>(std::count_if(all.begin(), all.end(), isAdapter));
}

double engine_book::weightsOf(const std::string& holding) const
{
    const std::size_t slash = holding.find('/');
    const model_config* model = m_config.find(holding.substr(0, slash));
    if (model == nullptr)
        return 0;
    return slash == std::string::npos ? model->weightsMb : model->adapterMb;
}

double engine_book::freeWeightsMb() const
{
    double free = m_config.weightsMb;
    for (const auto& name : everything())
        free -= weightsOf(name);
    return free;
}

} // namespace sagesaddle
