#include "Place/memory_ledger.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// Shortest time between two copies of an order.
constexpr milliseconds resendInterval { 100 };
// Name of a model that no engine has. An order to unload it only makes the engine accept the fencing token.
constexpr const char* nonexistentModel = "sagesaddle-no-model";

} // namespace

std::string_view nameOf(ledger_phase value)
{
    switch (value) {
    case ledger_phase::NoFence:
        return "no_fence";
    case ledger_phase::Settling:
        return "settling";
    case ledger_phase::Open:
        return "open";
    case ledger_phase::FencedOff:
        return "fenced_off";
    }
    return "settling";
}

memory_ledger::memory_ledger(options settings, monotonic_time startedAt)
    : m_options(std::move(settings))
    , m_startedAt(startedAt)
{
}

void memory_ledger::setFence(std::uint64_t fence)
{
    m_fence = fence;
    if (m_options.checksFencing && m_fenceOrderId.empty())
        m_fenceOrderId = addOrder(order_action::Unload, nonexistentModel, 0).id;
}

ledger_phase memory_ledger::phase() const
{
    if (m_isFencedOff)
        return ledger_phase::FencedOff;
    if (m_options.checksFencing && !m_fence)
        return ledger_phase::NoFence;
    return m_isOpen ? ledger_phase::Open : ledger_phase::Settling;
}

engine_order& memory_ledger::addOrder(order_action action, const std::string& model, std::uint64_t memoryMb)
{
    const std::string id = m_options.runId + "-" + std::to_string(m_nextOrderNumber++);
    outstanding_order& entry = m_orders[id];
    entry.order = { id, m_fence.value_or(0), action, model, memoryMb };
    return entry.order;
}

std::optional<engine_order> memory_ledger::reserveLoad(const std::string& model, std::uint64_t memoryMb)
{
    if (phase() != ledger_phase::Open || occupiesMemory(model) || hasOrderFor(model) || memoryMb > freeMb())
        return std::nullopt;
    return addOrder(order_action::Load, model, memoryMb);
}

std::optional<engine_order> memory_ledger::orderUnload(const std::string& model)
{
    if (phase() != ledger_phase::Open || !isUsable(model) || hasOrderFor(model))
        return std::nullopt;
    return addOrder(order_action::Unload, model, m_report.models.at(model).memoryMb);
}

std::vector<engine_order> memory_ledger::takeOrdersToSend(monotonic_time now)
{
    std::vector<engine_order> orders;
    if (!maySend(now))
        return orders;
    for (auto& [id, entry] : m_orders) {
        const bool isDue = !entry.isSent || now - entry.lastSentAt >= resendInterval;
        if (!entry.mustBeSent || !isDue)
            continue;
        // Until it is answered, this copy may take effect at any time. It is sent again only after onReply().
        entry.mustBeSent = false;
        entry.isSent = true;
        entry.lastSentAt = now;
        orders.push_back(entry.order);
    }
    return orders;
}

void memory_ledger::onReply(const std::string& orderId, order_reply reply, std::uint64_t sequence)
{
    const auto found = m_orders.find(orderId);
    if (reply == order_reply::Fenced)
        m_isFencedOff = true;
    if (found == m_orders.end())
        return;
    outstanding_order& entry = found->second;
    switch (reply) {
    case order_reply::Accepted:
        entry.acceptedSequence = sequence;
        if (orderId == m_fenceOrderId)
            m_fenceAcceptedSequence = sequence;
        removeSettledOrders();
        break;
    case order_reply::Fenced:
    case order_reply::NoMemory:
        // An earlier copy that was not answered may still take effect, so the memory stays reserved.
        if (!entry.hasUnansweredCopy)
            m_orders.erase(found);
        else
            entry.mustBeSent = true;
        break;
    case order_reply::Lost:
        entry.hasUnansweredCopy = true;
        entry.mustBeSent = true;
        break;
    }
}

// An order must take effect within the settling time of the report on which it is based. Sending is allowed
// in the first half, which leaves the second half for the order to reach the engine.
bool memory_ledger::maySend(monotonic_time now) const
{
    if (m_isFencedOff)
        return false;
    return m_options.checksFencing
        || (m_reportContentTime && now - m_reportRequestedAt < m_options.settlingTime / 2);
}

void memory_ledger::onReport(const engine_report& report, monotonic_time requestedAt)
{
    if (isOutdated(report, requestedAt))
        return;
    m_report = report;
    m_reportContentTime = requestedAt - report.age;
    m_reportRequestedAt = requestedAt;
    removeSettledOrders();
    detectLaterProcess();
    openIfSettled();
}

bool memory_ledger::isOwn(const std::string& orderId) const
{
    return orderId.starts_with(m_options.runId + "-");
}

// When the ledger opens, the report lists all orders of earlier processes. An unknown order that appears
// afterwards is from a later process.
void memory_ledger::detectLaterProcess()
{
    if (!m_isOpen || m_options.checksFencing)
        return;
    for (const auto& [id, outcome] : m_report.orders) {
        if (!isOwn(id) && !m_earlierOrders.contains(id))
            m_isFencedOff = true;
    }
}

// A lower sequence means an older report, unless the content is certainly newer: then the engine restarted
// and counts from the beginning.
bool memory_ledger::isOutdated(const engine_report& report, monotonic_time requestedAt)
{
    if (!m_reportContentTime || report.sequence >= m_report.sequence)
        return false;
    if (requestedAt - report.age < *m_reportContentTime + m_options.settlingTime)
        return true;
    for (auto& [id, entry] : m_orders) {
        entry.acceptedSequence.reset();
        entry.hasUnansweredCopy = true;
        entry.mustBeSent = true;
    }
    return false;
}

void memory_ledger::removeSettledOrders()
{
    std::erase_if(m_orders, [this](const auto& item) { return isSettled(item.second); });
}

bool memory_ledger::isSettled(const outstanding_order& entry) const
{
    const auto known = m_report.orders.find(entry.order.id);
    if (known != m_report.orders.end())
        return known->second == order_outcome::Settled;
    // The order is no longer in the list of recent orders. If the report is newer than the order's
    // acceptance, its models show whether the order was carried out.
    if (!entry.acceptedSequence || m_report.sequence < *entry.acceptedSequence)
        return false;
    const auto model = m_report.models.find(entry.order.model);
    if (entry.order.action == order_action::Unload)
        return model == m_report.models.end();
    return model != m_report.models.end() && model->second.state == resident_state::Loaded;
}

// Opens the ledger once no order of an earlier process can still take memory without being listed in the
// report.
void memory_ledger::openIfSettled()
{
    if (m_isOpen || !m_reportContentTime || hasForeignOrderRunning())
        return;
    if (m_options.checksFencing)
        m_isOpen = m_fenceAcceptedSequence && m_report.sequence >= *m_fenceAcceptedSequence;
    else
        m_isOpen = *m_reportContentTime >= m_startedAt + m_options.settlingTime;
    for (const auto& [id, outcome] : m_report.orders)
        m_earlierOrders.insert(id);
}

bool memory_ledger::hasForeignOrderRunning() const
{
    return std::any_of(m_report.orders.begin(), m_report.orders.end(), [this](const auto& item) {
        return item.second == order_outcome::Running && !m_orders.contains(item.first);
    });
}

std::uint64_t memory_ledger::committedMb() const
{
    std::uint64_t listed = 0;
    for (const auto& [name, model] : m_report.models)
        listed += model.memoryMb;
    std::uint64_t committed = std::max(listed, m_report.usedMb);
    for (const auto& [id, entry] : m_orders) {
        if (entry.order.action != order_action::Load)
            continue;
        const auto model = m_report.models.find(entry.order.model);
        const std::uint64_t included = model == m_report.models.end() ? 0 : model->second.memoryMb;
        committed += entry.order.memoryMb > included ? entry.order.memoryMb - included : 0;
    }
    return committed;
}

std::uint64_t memory_ledger::totalMb() const
{
    if (m_recordedTotalMb == 0 || !m_reportContentTime)
        return m_report.totalMb;
    return std::min(m_recordedTotalMb, m_report.totalMb);
}

std::uint64_t memory_ledger::freeMb() const
{
    const std::uint64_t committed = committedMb();
    if (phase() != ledger_phase::Open || committed >= totalMb())
        return 0;
    return totalMb() - committed;
}

std::uint64_t memory_ledger::unloadingMb() const
{
    std::uint64_t sum = 0;
    for (const auto& [id, entry] : m_orders) {
        if (entry.order.action == order_action::Unload)
            sum += entry.order.memoryMb;
    }
    return sum;
}

bool memory_ledger::occupiesMemory(const std::string& model) const
{
    return m_report.models.contains(model) || hasOrderFor(model);
}

bool memory_ledger::isUsable(const std::string& model) const
{
    const auto found = m_report.models.find(model);
    if (found == m_report.models.end() || found->second.state != resident_state::Loaded)
        return false;
    return std::none_of(m_orders.begin(), m_orders.end(), [&](const auto& item) {
        return item.second.order.model == model && item.second.order.action == order_action::Unload;
    });
}

bool memory_ledger::hasOrderFor(const std::string& model) const
{
    return std::any_of(
        m_orders.begin(), m_orders.end(), [&](const auto& item) { return item.second.order.model == model; });
}

} // namespace sagesaddle
