#include "Place/memory_ledger.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

constexpr milliseconds resendDelay { 100 };
// Unloading a model that no engine holds changes nothing but makes the engine take the fencing number.
constexpr const char* noModel = "sagesaddle-no-model";

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

memory_ledger::memory_ledger(options settings, monotonic_time started)
    : m_options(std::move(settings))
    , m_started(started)
{
}

void memory_ledger::setFence(std::uint64_t fence)
{
    m_fence = fence;
    if (m_options.checksFencing && m_openingOrder.empty())
        m_openingOrder = add(order_action::Unload, noModel, 0).id;
}

ledger_phase memory_ledger::phase() const
{
    if (m_isFencedOff)
        return ledger_phase::FencedOff;
    if (m_options.checksFencing && !m_fence)
        return ledger_phase::NoFence;
    return m_isOpen ? ledger_phase::Open : ledger_phase::Settling;
}

engine_order& memory_ledger::add(order_action action, const std::string& model, std::uint64_t memoryMb)
{
    const std::string id = m_options.run + "-" + std::to_string(m_nextOrder++);
    outstanding_order& entry = m_orders[id];
    entry.order = { id, m_fence.value_or(0), action, model, memoryMb };
    return entry.order;
}

std::optional<engine_order> memory_ledger::reserveLoad(const std::string& model, std::uint64_t memoryMb)
{
    if (phase() != ledger_phase::Open || occupiesMemory(model) || hasOrderFor(model) || memoryMb > freeMb())
        return std::nullopt;
    return add(order_action::Load, model, memoryMb);
}

std::optional<engine_order> memory_ledger::orderUnload(const std::string& model)
{
    if (phase() != ledger_phase::Open || !isUsable(model) || hasOrderFor(model))
        return std::nullopt;
    return add(order_action::Unload, model, m_report.models.at(model).memoryMb);
}

std::vector<engine_order> memory_ledger::takeOrdersToSend(monotonic_time now)
{
    std::vector<engine_order> orders;
    if (!maySend(now))
        return orders;
    for (auto& [id, entry] : m_orders) {
        const bool isDue = !entry.isSent || now - entry.lastSent >= resendDelay;
        if (!entry.wantsSending || !isDue)
            continue;
        // Until a reply comes, this copy may take effect at any time.
        entry.wantsSending = false;
        entry.isSent = true;
        entry.lastSent = now;
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
        entry.acceptedAt = sequence;
        if (orderId == m_openingOrder)
            m_fenceAccepted = sequence;
        settleOrders();
        break;
    case order_reply::Fenced:
    case order_reply::NoMemory:
        // An earlier copy whose reply was lost may still take effect.
        if (!entry.isInDoubt)
            m_orders.erase(found);
        else
            entry.wantsSending = true;
        break;
    case order_reply::Lost:
        entry.isInDoubt = true;
        entry.wantsSending = true;
        break;
    }
}

// Half of the settling time is left for the order's way to the engine.
bool memory_ledger::maySend(monotonic_time now) const
{
    if (m_isFencedOff)
        return false;
    return m_options.checksFencing || (m_reportMade && now - m_reportAsked < m_options.settling / 2);
}

void memory_ledger::onReport(const engine_report& report, monotonic_time asked)
{
    if (isStale(report, asked))
        return;
    m_report = report;
    m_reportMade = asked - report.age;
    m_reportAsked = asked;
    settleOrders();
    checkSuperseded();
    checkOpening();
}

bool memory_ledger::isOwn(const std::string& orderId) const
{
    return orderId.starts_with(m_options.run + "-");
}

// All that earlier processes ordered is listed by the time of the opening: what shows later is a later one's.
void memory_ledger::checkSuperseded()
{
    if (!m_isOpen || m_options.checksFencing)
        return;
    for (const auto& [id, outcome] : m_report.orders) {
        if (!isOwn(id) && !m_earlierOrders.contains(id))
            m_isFencedOff = true;
    }
}

// An older report is of no use. One whose content is surely younger and whose sequence is lower comes from an
// engine that began again.
bool memory_ledger::isStale(const engine_report& report, monotonic_time asked)
{
    if (!m_reportMade || report.sequence >= m_report.sequence)
        return false;
    if (asked - report.age < *m_reportMade + m_options.settling)
        return true;
    for (auto& [id, entry] : m_orders) {
        entry.acceptedAt.reset();
        entry.isInDoubt = true;
        entry.wantsSending = true;
    }
    return false;
}

void memory_ledger::settleOrders()
{
    std::erase_if(m_orders, [this](const auto& item) { return isSettled(item.second); });
}

bool memory_ledger::isSettled(const outstanding_order& entry) const
{
    const auto known = m_report.orders.find(entry.order.id);
    if (known != m_report.orders.end())
        return known->second == order_outcome::Settled;
    // The report is newer than the order, which has dropped out of its list: the models tell.
    if (!entry.acceptedAt || m_report.sequence < *entry.acceptedAt)
        return false;
    const auto model = m_report.models.find(entry.order.model);
    if (entry.order.action == order_action::Unload)
        return model == m_report.models.end();
    return model != m_report.models.end() && model->second.state == resident_state::Loaded;
}

// Opens once nothing that an earlier process ordered can still take memory unseen.
void memory_ledger::checkOpening()
{
    if (m_isOpen || !m_reportMade || hasForeignOrderRunning())
        return;
    if (m_options.checksFencing)
        m_isOpen = m_fenceAccepted && m_report.sequence >= *m_fenceAccepted;
    else
        m_isOpen = *m_reportMade >= m_started + m_options.settling;
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
        const std::uint64_t counted = model == m_report.models.end() ? 0 : model->second.memoryMb;
        committed += entry.order.memoryMb > counted ? entry.order.memoryMb - counted : 0;
    }
    return committed;
}

std::uint64_t memory_ledger::totalMb() const
{
    if (m_recordedTotalMb == 0 || !m_reportMade)
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
