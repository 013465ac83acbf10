#include "Fakes/engine_memory.h"

#include "Fakes/fake_program.h"
#include "Serve/http_client.h"

#include <algorithm>

namespace sagesaddle::testing {

namespace {

constexpr std::size_t maxRecentOrders = 64;
constexpr std::size_t maxSnapshots = 1000;
constexpr milliseconds unloadDuration { 5 };

} // namespace

engine_memory::engine_memory(const options& given)
    : m_options(given)
    , m_checksFencing(given.checksFencing)
{
    for (const std::string& text : given.preload) {
        const auto equals = text.find('=');
        if (equals == std::string::npos)
            throw std::invalid_argument("model '" + text + "' has no size; write it as name=MB");
        m_models[text.substr(0, equals)] = { std::stoull(text.substr(equals + 1)), "loaded" };
    }
    m_peakMb = usedMb();
    addSnapshot();
}

engine_memory::order_document engine_memory::parseOrder(const nlohmann::json& document)
{
    const std::string action = document.at("action");
    if (action != "load" && action != "unload")
        throw std::invalid_argument("action '" + action + "' is neither load nor unload");
    return { document.at("order_id"), document.value("fence", std::uint64_t { 0 }), action == "load",
        document.at("model"), document.value("memory_mb", std::uint64_t { 0 }) };
}

void engine_memory::handleOrder(http_call& call)
{
    const order_document received = parseOrder(readJson(call));
    std::unique_lock lock(m_mutex);
    const bool lost = consumeFault(m_faults.loseOrders);
    const bool answerLost = !lost && consumeFault(m_faults.loseOrderAnswers);
    const milliseconds delay(m_faults.delayOrdersMs);
    lock.unlock();
    if (lost)
        return call.abandon();
    if (answerLost) {
        // The sender sees the connection break at once, while the order takes effect later.
        m_workers.run([this, received, delay] {
            if (m_workers.sleepFor(delay))
                accept(received);
        });
        return call.abandon();
    }
    const order_answer answer = accept(received);
    respondJson(call, answer.status, answer.body);
}

engine_memory::order_answer engine_memory::accept(const order_document& order)
{
    const std::lock_guard lock(m_mutex);
    if (const auto knownOrder = m_sequenceOfOrder.find(order.id); knownOrder != m_sequenceOfOrder.end())
        return { 202, { { "sequence", knownOrder->second } } };
    if (m_checksFencing && order.fence < m_highestFence) {
        ++m_staleOrders;
        return { 409, { { "highest_fence", m_highestFence } } };
    }
    m_highestFence = std::max(m_highestFence, order.fence);
    if (order.isLoad && m_faults.delayOrdersMs == 0 && !reserve(order))
        return { 507, { { "memory_used_mb", usedMb() }, { "memory_total_mb", m_options.totalMb } } };
    m_sequenceOfOrder[order.id] = ++m_sequence;
    m_orders.emplace_back(order.id, "running");
    if (m_orders.size() > maxRecentOrders)
        m_orders.pop_front();
    start(order);
    addSnapshot();
    return { 202, { { "sequence", m_sequence } } };
}

void engine_memory::start(const order_document& order)
{
    const milliseconds delay(m_faults.delayOrdersMs);
    if (!order.isLoad && delay.count() == 0 && m_models.contains(order.model))
        m_models[order.model].state = "unloading";
    m_workers.run([this, order, delay] { runOrder(order, delay); });
}

void engine_memory::runOrder(const order_document& order, milliseconds delay)
{
    if (!m_workers.sleepFor(delay))
        return;
    if (!order.isLoad) {
        if (m_workers.sleepFor(unloadDuration))
            finishOrder(order, "unloaded");
        return;
    }
    if (delay.count() > 0) {
        const std::lock_guard lock(m_mutex);
        if (!reserve(order)) {
            std::find_if(m_orders.begin(), m_orders.end(),
                [&](const auto& knownOrder) { return knownOrder.first == order.id; })
                ->second
                = "refused";
            return addSnapshot();
        }
    }
    try {
        fetchWeights(order);
        finishOrder(order, "loaded");
    } catch (const std::exception&) {
        finishOrder(order, "failed");
    }
}

bool engine_memory::reserve(const order_document& order)
{
    if (m_models.contains(order.model))
        return true;
    if (usedMb() + order.memoryMb > m_options.totalMb) {
        ++m_overcommits;
        if (m_faults.refuseOvercommit)
            return false;
    }
    m_models[order.model] = { order.memoryMb, "loading" };
    m_peakMb = std::max(m_peakMb, usedMb());
    addSnapshot();
    return true;
}

void engine_memory::fetchWeights(const order_document& order)
{
    if (!m_options.store) {
        m_workers.sleepFor(milliseconds(m_options.loadMs));
        return;
    }
    http_request request;
    request.method = "POST";
    request.server = *m_options.store;
    request.target = "/v1/loads";
    request.body = nlohmann::json { { "model", order.model }, { "memory_mb", order.memoryMb } }.dump();
    request.timeout = seconds(60);
    const http_response response = http_client().send(request);
    if (response.status != 200)
        throw std::runtime_error("the weight store answered " + std::to_string(response.status));
}

void engine_memory::finishOrder(const order_document& order, const std::string& outcome)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_models.find(order.model);
    if (found != m_models.end()) {
        if (outcome == "loaded") {
            found->second.state = "loaded";
            ++m_loads[order.model];
        } else if (outcome == "unloaded" || found->second.state == "loading") {
            m_models.erase(found);
        }
    }
    for (auto& [id, knownOrder] : m_orders) {
        if (id == order.id)
            knownOrder = outcome;
    }
    ++m_sequence;
    addSnapshot();
}

std::uint64_t engine_memory::usedMb() const
{
    std::uint64_t sum = 0;
    for (const auto& [name, model] : m_models)
        sum += model.memoryMb;
    return sum;
}

void engine_memory::addSnapshot()
{
    nlohmann::json models = nlohmann::json::array();
    for (const auto& [name, model] : m_models)
        models.push_back({ { "name", name }, { "memory_mb", model.memoryMb }, { "state", model.state } });
    nlohmann::json orders = nlohmann::json::array();
    for (const auto& [id, outcome] : m_orders)
        orders.push_back({ { "order_id", id }, { "outcome", outcome } });
    m_history.push_back({ monotonicNow(),
        { { "sequence", m_sequence }, { "memory_total_mb", m_options.totalMb },
            { "memory_used_mb", usedMb() }, { "models", std::move(models) },
            { "recent_orders", std::move(orders) } } });
    if (m_history.size() > maxSnapshots)
        m_history.pop_front();
}

bool engine_memory::isLoaded(const std::string& model)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_models.find(model);
    return found != m_models.end() && found->second.state == "loaded";
}

nlohmann::json engine_memory::report()
{
    const std::lock_guard lock(m_mutex);
    const auto asOf = monotonicNow() - milliseconds(m_faults.reportLagMs);
    std::size_t index = m_history.size() - 1;
    while (index > 0 && m_history[index].since > asOf)
        --index;
    nlohmann::json document = m_history[index].document;
    document["age_ms"] = m_faults.reportLagMs;
    return document;
}

nlohmann::json engine_memory::stats()
{
    const std::lock_guard lock(m_mutex);
    return { { "peak_memory_mb", m_peakMb }, { "memory_total_mb", m_options.totalMb },
        { "overcommit_orders", m_overcommits }, { "fenced_off", m_staleOrders },
        { "highest_fence", m_highestFence }, { "loads", m_loads } };
}

void engine_memory::setFaults(const nlohmann::json& document)
{
    const std::lock_guard lock(m_mutex);
    setIfPresent(document, "lose_orders", m_faults.loseOrders);
    setIfPresent(document, "lose_order_answers", m_faults.loseOrderAnswers);
    setIfPresent(document, "delay_orders_ms", m_faults.delayOrdersMs);
    setIfPresent(document, "report_lag_ms", m_faults.reportLagMs);
    setIfPresent(document, "refuse_overcommit", m_faults.refuseOvercommit);
    setIfPresent(document, "check_fencing", m_checksFencing);
}

} // namespace sagesaddle::testing
