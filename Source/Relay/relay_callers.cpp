// The relay's functions for callers' connections and the memory that they make the process hold.
#include "Relay/relay.h"
#include "caller_wire.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Idle connections that are tried when one must be closed; those with unread bytes are not closed.
constexpr std::size_t maxIdleCallersTried = 8;
// Interval of the checks for stalled connections while the budget is used up; well below
// caller_memory::shedAfter.
constexpr milliseconds sheddingInterval { 50 };

std::string_view nameOfAction(caller_memory_action action)
{
    return action == caller_memory_action::Refuse ? "refuse" : "close";
}

} // namespace

void relay::accept(evutil_socket_t socket)
{
    if (m_callers.size() >= m_options.maxCallers && !closeIdleCaller()) {
        m_telemetry.metrics.add(
            "sagesaddle_callers_turned_away", "Connections closed for want of descriptors");
        m_telemetry.lines.write(
            log_level::Warning, "caller_turned_away", { { "callers", m_callers.size() } }, monotonicNow());
        evutil_closesocket(socket);
        return;
    }
    const auto connection = std::make_shared<caller_connection>(*this, socket);
    m_callers.emplace(connection.get(), connection);
}

bool relay::closeIdleCaller()
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    for (const auto& [key, connection] : m_callers) {
        if (connection->isIdle())
            idle.push_back(connection);
    }
    const auto candidatesEnd
        = idle.begin() + static_cast<std::ptrdiff_t>(std::min(idle.size(), maxIdleCallersTried));
    std::partial_sort(idle.begin(), candidatesEnd, idle.end(),
        [](const auto& left, const auto& right) { return left->idleSince() < right->idleSince(); });
    return std::any_of(
        idle.begin(), candidatesEnd, [](const auto& connection) { return connection->closeIfIdle(); });
}

void relay::logCallerCut(std::string_view reason, bool hasRequest, bool hasIncoming, std::size_t unwritten)
{
    m_telemetry.lines.write(log_level::Warning, "caller_cut",
        { { "by", reason }, { "request", hasRequest }, { "incoming", hasIncoming },
            { "unwritten", unwritten } },
        monotonicNow());
}

void relay::removeCaller(const caller_connection& connection)
{
    const auto found = m_callers.find(&connection);
    if (found == m_callers.end())
        return;
    m_closedCallers.push_back(std::move(found->second));
    m_callers.erase(found);
    m_readTimer.start({});
}

void relay::scheduleRead(const std::shared_ptr<caller_connection>& connection)
{
    m_toRead.push_back(connection);
    m_readTimer.start({});
}

std::optional<refusal_reason> relay::refusalOfHead(const http_head& head) const
{
    // Until a configuration is known, the request may still be served when its body is complete.
    if (!m_table)
        return std::nullopt;
    const std::string* host = head.find("Host");
    const route_config* route = m_table->findRoute(host == nullptr ? std::string() : *host, head.target);
    if (route == nullptr)
        return refusal_reason::UnknownRoute;
    if (route->isPublic || m_table->config().teams.empty())
        return std::nullopt;
    const std::string* key = platform::findApiKey(head);
    if (key == nullptr || m_table->findTeam(*key) == nullptr)
        return refusal_reason::UnknownKey;
    return std::nullopt;
}

void relay::recordEarlyRefusal(refusal_reason reason)
{
    m_telemetry.metrics.add("sagesaddle_refusals", "Requests that the system ended itself",
        { { "reason", std::string(refusalOf(reason).name) }, { "team", "" } });
}

bool relay::admitHeldBytes(caller_connection& connection)
{
    const auto mayReadOn
        = [&] { return m_callerMemory.decideRead(connection.account()) == caller_memory_action::ReadOn; };
    connection.updateAccount(m_callerMemory);
    if (mayReadOn())
        return true;
    if (m_callerMemory.heldBytes() > m_callerMemory.budgetBytes())
        shedCallers();
    if (connection.isRefusedOrClosed())
        return false;
    if (mayReadOn())
        return true;
    if (connection.pauseReading())
        m_pausedCallers.push_back(connection.weak_from_this());
    scheduleShedding();
    return false;
}

void relay::noteHeldBytes(caller_connection& connection)
{
    connection.updateAccount(m_callerMemory);
    if (m_callerMemory.decideRead(connection.account()) != caller_memory_action::ReadOn)
        scheduleShedding();
}

void relay::scheduleShedding()
{
    if (!m_memoryTimer.isRunning())
        m_memoryTimer.start(
            m_callerMemory.heldBytes() > m_callerMemory.budgetBytes() ? milliseconds(0) : sheddingInterval);
}

void relay::shedCallers()
{
    const monotonic_time now = monotonicNow();
    std::vector<std::shared_ptr<caller_connection>> callers;
    std::vector<caller_account> accounts;
    callers.reserve(m_callers.size());
    accounts.reserve(m_callers.size());
    for (const auto& [key, connection] : m_callers) {
        connection->updateAccount(m_callerMemory);
        callers.push_back(connection);
        accounts.push_back(connection->account());
    }
    std::erase_if(m_pausedCallers, [](const auto& paused) {
        const auto connection = paused.lock();
        return !connection || !connection->isReadPaused();
    });
    const bool hasPaused = !m_pausedCallers.empty();
    while (const auto shed = m_callerMemory.chooseShed(accounts, hasPaused, now)) {
        const caller_account& chosen = accounts[shed->position];
        m_telemetry.metrics.add("sagesaddle_callers_shed",
            "Requests refused and connections closed to release memory",
            { { "action", std::string(nameOfAction(shed->action)) } });
        m_telemetry.lines.write(log_level::Warning, "caller_memory_spent",
            { { "held", m_callerMemory.heldBytes() }, { "budget", m_callerMemory.budgetBytes() },
                { "callers", callers.size() }, { "action", nameOfAction(shed->action) },
                { "released", chosen.heldBytes },
                { "stalled_ms", secondsBetween(chosen.progressAt, now) * 1000 } },
            now);
        callers[shed->position]->shed(shed->action);
        callers[shed->position]->updateAccount(m_callerMemory);
        accounts[shed->position] = {};
    }
    const bool isTight
        = m_callerMemory.decideRead({ caller_memory::smallRequestBytes + 1 }) != caller_memory_action::ReadOn;
    if (isTight) {
        for (const auto& connection : callers)
            connection->holdBackAnswer();
    }
    if (m_callerMemory.mayResume()) {
        for (const auto& paused : std::exchange(m_pausedCallers, {})) {
            if (const auto connection = paused.lock())
                connection->resumeReading();
        }
    }
    if (isTight || !m_pausedCallers.empty())
        m_memoryTimer.start(sheddingInterval);
}

void relay::exportCallerMemory()
{
    m_telemetry.metrics.set("sagesaddle_caller_memory_bytes", "Memory that callers make the process hold",
        static_cast<double>(m_callerMemory.heldBytes()));
    m_telemetry.metrics.set("sagesaddle_caller_memory_budget_bytes",
        "Memory that callers may make the process hold", static_cast<double>(m_callerMemory.budgetBytes()));
}

} // namespace sagesaddle
