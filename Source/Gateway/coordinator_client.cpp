#include "Gateway/coordinator_client.h"

#include "Gateway/member_name.h"

#include <algorithm>
#include <numeric>

namespace sagesaddle {

namespace {

// Delay of a report that a request waits for, so that several requests share one report.
constexpr milliseconds urgentReportDelay { 2 };
// Lifetime of granted credit. A process that was suspended for longer spends none of it.
constexpr milliseconds grantLife { 1000 };
// Time between checks of the requests that wait for credit.
constexpr milliseconds creditCheckInterval { 50 };
// Time between attempts to reach the successor, which declines until it misses the coordinator itself.
constexpr milliseconds successorRetryInterval { 150 };
// Time from a broken connection until the coordinator counts as failed. A restarted one is back within it,
// or not soon.
constexpr milliseconds reconnectGrace { 100 };

} // namespace

coordinator_client::coordinator_client(event_loop& loop, std::string name, std::string member, relay& relayed,
    const relay_telemetry& telemetry, hooks value)
    : m_loop(loop)
    , m_name(std::move(name))
    , m_member(std::move(member))
    , m_relay(relayed)
    , m_telemetry(telemetry)
    , m_hooks(std::move(value))
    , m_creditCache(grantLife, fallbackRateFraction)
    , m_reportTimer(loop, [this] { sendReport(); })
{
}

void coordinator_client::start()
{
    m_reportTimer.start(timing().reportInterval);
}

milliseconds coordinator_client::nextReportInterval() const
{
    const bool anyWaiting = std::any_of(
        m_waiting.begin(), m_waiting.end(), [](const auto& item) { return !item.second.empty(); });
    if (anyWaiting)
        return std::min(creditCheckInterval, timing().reportInterval);
    return m_isCoordinatorLost ? std::min(successorRetryInterval, timing().reportInterval)
                               : timing().reportInterval;
}

void coordinator_client::onConfig(const fleet_config& config)
{
    m_creditCache.setLimits(rateLimitsOf(config.teams), bootTimeNow());
}

void coordinator_client::onGatewayCountFromLease(unsigned count)
{
    if (!m_isCoordinatorLost || m_creditCache.knowsGatewayCount() || count == 0)
        return;
    setGatewayCount(count);
    m_relay.onLimitsKnown();
}

void coordinator_client::onLeaseHolder(const address& where, std::uint64_t leaseEnd)
{
    // The lease was not renewed since this holder fell silent.
    if (where == m_silentPeer && leaseEnd <= m_silentLeaseEnd)
        return;
    m_holderLeaseEnd = leaseEnd;
    if (m_connection && m_connection->peer() == where)
        return;
    connect(where);
}

void coordinator_client::connect(const address& where)
{
    m_lostConnection = std::move(m_connection);
    resetUnansweredRequests();
    m_connectedAt = monotonicNow();
    m_wantsFullUpdate = true;
    m_hasConnectionAnswered = false;
    m_upstreamsByNumber.clear();
    // The previous connection may still deliver answers until it is deleted.
    const std::uint64_t connectionNumber = ++m_connectionCount;
    m_connection = std::make_unique<coordinator_connection>(m_loop, where,
        coordinator_connection::handlers { [this, connectionNumber](const fleet_update& update) {
                                              if (connectionNumber != m_connectionCount || !m_connection)
                                                  return;
                                              monotonic_time askedAt {};
                                              while (!m_unansweredReports.empty()
                                                  && m_unansweredReports.front().number <= update.number) {
                                                  askedAt = m_unansweredReports.front().sentAt;
                                                  m_unansweredReports.pop_front();
                                              }
                                              onUpdate(update, askedAt);
                                          },
            [this, connectionNumber](const quarantine_update& update) {
                if (connectionNumber == m_connectionCount && m_connection)
                    m_relay.onQuarantineTold(update);
            },
            [this, connectionNumber](const list_update& update) {
                if (connectionNumber == m_connectionCount && m_connection)
                    applyList(update.listed, false);
            },
            [this, connectionNumber] {
                if (connectionNumber == m_connectionCount && m_connection)
                    onConnectionLost();
            } });
}

void coordinator_client::onConnectionLost()
{
    // Kept until the next connection is lost, since the handler of this one is running.
    m_lostConnection = std::move(m_connection);
    const bool isSuccessor = !m_successor.empty() && m_lostConnection->peer() == addressOfMember(m_successor);
    // A connection may break while the coordinator is up, so the same peer is tried once more.
    if (std::exchange(m_hasConnectionAnswered, false))
        m_retryPeer = m_lostConnection->peer();
    if (!isSuccessor) {
        m_silentPeer = m_lostConnection->peer();
        m_silentLeaseEnd = m_holderLeaseEnd;
    }
    if (!m_isCoordinatorLost && !m_disconnectedAt)
        m_disconnectedAt = monotonicNow();
    resetUnansweredRequests();
    m_reportTimer.start(urgentReportDelay);
}

bool coordinator_client::hasLiveInterimCoordinator(monotonic_time now) const
{
    return m_lastInterimNewsAt != monotonic_time {}
    && now - m_lastInterimNewsAt < timing().coordinatorTimeout;
}

bool coordinator_client::mayRequestCredit(monotonic_time now) const
{
    // After the loss of a coordinator, another one takes over while many requests can still wait for it.
    return !m_isCoordinatorLost || hasLiveInterimCoordinator(now)
        || (!m_successor.empty() && now - m_lastNewsAt < timing().coordinatorTimeout * 2);
}

bool coordinator_client::isInterimDue() const
{
    if (m_member.empty() || m_successor != m_member)
        return false;
    const monotonic_time now = monotonicNow();
    return now - m_lastNewsAt >= timing().coordinatorTimeout
        || (m_disconnectedAt && now - *m_disconnectedAt >= reconnectGrace);
}

void coordinator_client::tryConnectSuccessor(monotonic_time now)
{
    if (m_successor.empty() || m_successor == m_member || now - m_successorTriedAt < successorRetryInterval)
        return;
    m_successorTriedAt = now;
    connect(addressOfMember(m_successor));
}

void coordinator_client::resetUnansweredRequests()
{
    m_unansweredReports.clear();
    for (auto& [team, waiting] : m_waiting) {
        for (auto& item : waiting)
            item.isRequested = false;
    }
    m_relay.sendCredit().onReportsLost();
    m_relay.quarantine().onReportsLost();
}

void coordinator_client::setCoordinatorLost(bool isLost)
{
    if (m_isCoordinatorLost == isLost)
        return;
    m_isCoordinatorLost = isLost;
    setFallbackActive(isLost && !hasLiveInterimCoordinator(monotonicNow()), bootTimeNow());
    m_telemetry.lines.write(
        log_level::Warning, isLost ? "coordinator_away" : "coordinator_heard", {}, monotonicNow());
    if (isLost)
        m_relay.onCoordinatorLost();
}

void coordinator_client::requestCredit(const relay_exchange_ptr& request)
{
    auto& waiting = m_waiting[request->team()];
    if (waiting.empty() && m_creditCache.trySpend(request->team(), request->tokens(), bootTimeNow())) {
        request->onCreditDecision(credit_outcome::Granted, {});
        return;
    }
    const auto decision = decideCreditWait(
        coordinationState(), { request->route().objective, request->timeLeft(), {}, waitingRequestCount() });
    if (const auto* refusal = std::get_if<refuse_uncredited>(&decision)) {
        request->onCreditDecision(credit_outcome::Unknown, refusal->retryAfter);
        return;
    }
    waiting.push_back({ request, monotonicNow() });
    scheduleReport();
}

coordination_state coordinator_client::coordinationState() const
{
    const monotonic_time answeredAt = std::max(m_lastNewsAt, m_lastInterimNewsAt);
    const bool hasAnswered = answeredAt != monotonic_time {};
    const auto silentFor = monotonicNow() - (hasAnswered ? answeredAt : m_startedAt);
    return { std::chrono::duration_cast<milliseconds>(silentFor), hasAnswered, !m_successor.empty(),
        m_hooks.isStoreUnreachable(), m_gatewayCount };
}

std::size_t coordinator_client::waitingRequestCount() const
{
    return std::accumulate(m_waiting.begin(), m_waiting.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& item) { return sum + item.second.size(); });
}

void coordinator_client::refund(const std::string& team, double tokens)
{
    m_creditCache.refund(team, tokens, bootTimeNow());
}

void coordinator_client::recordDemand(const relay_exchange& request)
{
    const auto& asked = request.request();
    if (asked.model.empty())
        return;
    auto& item = m_demand[request.service() + "/" + formatModelRef(asked.model, asked.adapter)];
    item.service = request.service();
    item.model = asked.model;
    item.adapter = asked.adapter;
    item.requests += 1;
    item.tokens += asked.promptTokens.value_or(0);
}

void coordinator_client::onModelMissing(
    const std::string& service, const std::string& model, const std::string& adapter)
{
    auto& item = m_demand[service + "/" + formatModelRef(model, adapter)];
    item.service = service;
    item.model = model;
    item.adapter = adapter;
    if (item.unplaced++ == 0)
        scheduleReport();
}

void coordinator_client::scheduleReport()
{
    m_reportTimer.start(urgentReportDelay);
}

void coordinator_client::addCreditRequests(fleet_report& value)
{
    if (!m_relay.table())
        return;
    const monotonic_time now = bootTimeNow();
    for (const auto& team : m_relay.table()->config().teams) {
        double needed = 0;
        const auto waiting = m_waiting.find(team.name);
        if (waiting != m_waiting.end()) {
            for (auto& item : waiting->second) {
                if (!std::exchange(item.isRequested, true) && !item.request->isOver())
                    needed += item.request->tokens();
            }
        }
        const double ahead = m_creditCache.tokensToPrefetch(team.name, now);
        const double returned = needed > 0 ? 0 : m_creditCache.removeIdleCredit(team.name, now);
        if (needed > 0 || ahead > 0 || returned > 0)
            value.credit.push_back({ team.name, needed, ahead, returned });
    }
}

fleet_report coordinator_client::buildReport(bool isOnlyCredit)
{
    fleet_report value;
    value.gateway = m_name;
    value.number = ++m_lastReportNumber;
    value.isStoreUnreachable = m_hooks.isStoreSilent();
    value.wantsFullUpdate = m_wantsFullUpdate;
    value.isOnlyCredit = isOnlyCredit;
    if (!isOnlyCredit)
        value.member = m_member;
    addCreditRequests(value);
    value.sendCredit = m_relay.sendCredit().takeRequests(bootTimeNow());
    value.quarantine = m_relay.quarantine().takeReport(monotonicNow());
    for (auto& [key, item] : std::exchange(m_demand, {}))
        value.demand.push_back(std::move(item));
    if (isOnlyCredit)
        return value;
    for (const auto& [id, upstream] : m_relay.upstreams()) {
        if (upstream->inFlight > 0)
            value.work.push_back({ id, static_cast<std::uint32_t>(upstream->inFlight),
                std::max(0.0, upstream->tokensAhead), std::max(0.0, upstream->kvCacheTokens) });
    }
    for (auto& [id, sums, start] : m_relay.takeSpeedSamples())
        value.times.push_back({ id, sums, start });
    return value;
}

bool coordinator_client::hasUrgentRequest() const
{
    const bool wantsCredit = std::any_of(m_waiting.begin(), m_waiting.end(), [](const auto& item) {
        return std::any_of(item.second.begin(), item.second.end(),
            [](const waiting_request& waiting) { return !waiting.isRequested; });
    });
    return wantsCredit || m_relay.sendCredit().hasUrgentReport() || m_relay.quarantine().hasUrgentReport()
        || std::any_of(
            m_demand.begin(), m_demand.end(), [](const auto& item) { return item.second.unplaced > 0; });
}

void coordinator_client::sendReport()
{
    m_reportTimer.start(nextReportInterval());
    const monotonic_time now = monotonicNow();
    m_relay.updateQuarantine(!m_isCoordinatorLost || hasLiveInterimCoordinator(now));
    const monotonic_time sentAt = bootTimeNow();
    const fleet_timing times = timing();
    const bool isOnlyCredit = !m_wantsFullUpdate && now - m_fullReportAt < times.minReportInterval;
    if (isOnlyCredit && !hasUrgentRequest()) {
        updateWaitingRequests();
        return;
    }
    if (!isOnlyCredit)
        m_fullReportAt = now;
    auto value = buildReport(isOnlyCredit);
    const bool isConnectionUp = m_connection && m_connection->isConnected();
    if (const auto update = m_hooks.answerLocally(value)) {
        // This gateway read the configuration and the list itself, so the answer confirms nothing new.
        onUpdate(*update, {});
        // One planning pass gives at most one order for a model. A second pass now serves the requests that
        // are still unplaced.
        if (value.hasUnplaced())
            m_hooks.onUnplacedRequests();
        if (!update->isInterim) {
            m_connection.reset();
            m_unansweredReports.clear();
            return;
        }
        // The lease may name a holder, to which the report goes as well. Once the holder answers, this
        // gateway grants no more credit.
        value.credit.clear();
        value.sendCredit.clear();
        value.demand.clear();
    } else if (!isConnectionUp) {
        resetUnansweredRequests();
    }
    if (isConnectionUp && !(isInterimDue() && isOnlyCredit)) {
        m_unansweredReports.push_back({ value.number, sentAt });
        m_connection->send(value);
    }
    updateCoordinatorConnection(now);
    setFallbackActive(m_isCoordinatorLost && !hasLiveInterimCoordinator(now), sentAt);
    updateWaitingRequests();
}

void coordinator_client::updateCoordinatorConnection(monotonic_time now)
{
    const milliseconds coordinatorTimeout = timing().coordinatorTimeout;
    const bool isSilent
        = now - std::max({ m_lastNewsAt, m_lastInterimNewsAt, m_connectedAt }) >= coordinatorTimeout;
    if (m_connection && isSilent) {
        m_silentPeer = m_connection->peer();
        m_silentLeaseEnd = m_holderLeaseEnd;
        m_lostConnection = std::move(m_connection);
        resetUnansweredRequests();
    }
    if (!m_connection && m_retryPeer)
        connect(*std::exchange(m_retryPeer, std::nullopt));
    else if (!m_connection)
        tryConnectSuccessor(now);
    if (now - m_lastNewsAt >= coordinatorTimeout)
        setCoordinatorLost(true);
}

void coordinator_client::updateWaitingRequests()
{
    const monotonic_time now = monotonicNow();
    const coordination_state state = coordinationState();
    std::vector<wait_end> ends;
    for (auto& [team, waiting] : m_waiting) {
        const auto credited = takeCredited(team, waiting);
        ends.insert(ends.end(), credited.begin(), credited.end());
        std::erase_if(waiting, [&](waiting_request& item) {
            const auto waitedFor = std::chrono::duration_cast<milliseconds>(now - item.waitingSince);
            const auto decision = decideCreditWait(
                state, { item.request->route().objective, item.request->timeLeft(), waitedFor, 0 });
            if (const auto* wait = std::get_if<wait_for_credit>(&decision)) {
                item.hasMissedCoordinator = item.hasMissedCoordinator || wait->dueIn > milliseconds(0);
                return false;
            }
            ends.push_back(
                { item, credit_outcome::Unknown, std::get<refuse_uncredited>(decision).retryAfter });
            return true;
        });
    }
    endWaits(ends);
}

std::vector<coordinator_client::wait_end> coordinator_client::takeCredited(
    const std::string& team, std::list<waiting_request>& waiting)
{
    std::vector<wait_end> credited;
    std::erase_if(waiting, [](const waiting_request& item) { return item.request->isOver(); });
    const monotonic_time now = bootTimeNow();
    while (!waiting.empty() && m_creditCache.trySpend(team, waiting.front().request->tokens(), now)) {
        credited.push_back({ waiting.front(), credit_outcome::Granted, {} });
        waiting.pop_front();
    }
    return credited;
}

void coordinator_client::endWaits(const std::vector<wait_end>& ends)
{
    for (const auto& end : ends) {
        if (end.wait.hasMissedCoordinator)
            m_telemetry.metrics.add("sagesaddle_coordinator_waits",
                "Requests that waited for a coordinator, by the end of the wait",
                { { "outcome",
                    end.outcome == credit_outcome::Granted         ? "granted"
                        : end.outcome == credit_outcome::OverLimit ? "over_limit"
                                                                   : "limit_unknown" } });
        // An earlier decision may have ended this request.
        if (end.outcome == credit_outcome::Granted && end.wait.request->isOver())
            refund(end.wait.request->team(), end.wait.request->tokens());
        end.wait.request->onCreditDecision(end.outcome, end.retryAfter);
    }
}

void coordinator_client::onUpdate(const fleet_update& update, monotonic_time askedAt)
{
    m_hasConnectionAnswered = true;
    // Before the list and the loaded models, which may have waiting requests placed.
    if (update.evacuations)
        m_hooks.onEvacuationsTold(*update.evacuations);
    if (update.isInterim) {
        m_lastInterimNewsAt = monotonicNow();
        setFallbackActive(false, bootTimeNow());
    } else {
        m_lastNewsAt = monotonicNow();
        m_isOwnNews = askedAt == monotonic_time {};
        m_disconnectedAt.reset();
        setCoordinatorLost(false);
        m_gatewayCount = std::max(update.gatewayCount, 1U);
        setGatewayCount(update.gatewayCount);
        m_relay.onGatewayCount(update.gatewayCount);
        m_relay.onLimitsKnown();
        m_relay.onCoordinatorHeard();
    }
    // Answers to reports that carry only credit name no lease holder.
    if (!update.leaseHolder.empty()) {
        m_hooks.onLeaseRecord({ update.leaseHolder, update.gatewayCount, update.leaseEnd });
        m_holderLeaseEnd = update.leaseEnd;
        m_successor = update.successor;
        m_hooks.onSuccessorKnown(m_successor.empty() || m_successor == m_member);
        m_wantsFullUpdate = false;
    }
    if (!update.listed.empty())
        m_wantsFullUpdate = false;
    if (askedAt != monotonic_time {})
        applyList(update.listed, update.isFullList);
    if (update.confirmation && askedAt != monotonic_time {}) {
        // The age counts from the sending of the report; counted from the arrival of the answer, the
        // confirmation would seem newer than it is.
        const monotonic_time confirmedAt = askedAt - milliseconds(update.confirmation->ageMs);
        m_remoteConfirmedAt = confirmedAt;
        m_hooks.onConfigConfirmation(update.confirmation->configEnd, confirmedAt);
    }
    applyWork(update);
    for (const auto& loaded : update.loadedModels) {
        // A change to something unknown here; the next report asks for a full update.
        if (!m_relay.onLoadedModels(loaded.upstream, loaded.change))
            m_wantsFullUpdate = true;
    }
    if (update.quarantine)
        m_relay.onQuarantineTold(*update.quarantine);
    const monotonic_time grantedAt = askedAt == monotonic_time {} ? bootTimeNow() : askedAt;
    applyUpstreamLimits(update, grantedAt);
    for (const auto& grant : update.credit) {
        m_creditCache.onGrant(grant.name, grant.tokens, grantedAt);
        serveWaitingRequests(grant.name,
            grant.retryAfterMs > 0 ? std::optional(milliseconds(grant.retryAfterMs)) : std::nullopt);
    }
}

void coordinator_client::applyUpstreamLimits(const fleet_update& update, monotonic_time grantedAt)
{
    for (const auto& limit : update.upstreamLimits)
        m_relay.onUpstreamLimitTold(limit);
    for (const auto& grant : update.sendCredit)
        m_relay.sendCredit().onGrant(
            grant.name, grant.tokens, milliseconds(grant.retryAfterMs), grantedAt, bootTimeNow());
    if (!update.upstreamLimits.empty() || !update.sendCredit.empty())
        m_relay.schedulePlacement();
}

void coordinator_client::reportCrash()
{
    scheduleReport();
}

bool coordinator_client::requestSendCredit()
{
    if (!mayRequestCredit(monotonicNow()))
        return false;
    if (m_relay.sendCredit().hasUrgentReport())
        scheduleReport();
    return true;
}

void coordinator_client::setFallbackActive(bool isActive, monotonic_time now)
{
    m_creditCache.setFallbackActive(isActive, now);
    m_relay.sendCredit().setFallbackActive(isActive, now);
}

void coordinator_client::setGatewayCount(unsigned count)
{
    m_creditCache.setGatewayCount(count);
    m_relay.sendCredit().setGatewayCount(count);
}

bool coordinator_client::hasRecentConfirmation() const
{
    return !m_isCoordinatorLost && m_connection && m_connection->isConnected()
        && bootTimeNow() - m_remoteConfirmedAt < timing().maxConfirmationAge;
}

void coordinator_client::serveWaitingRequests(const std::string& team, std::optional<milliseconds> retryAfter)
{
    auto& waiting = m_waiting[team];
    endWaits(takeCredited(team, waiting));
    if (waiting.empty())
        return;
    if (!retryAfter) {
        // These requests arrived after the report that was answered.
        scheduleReport();
        return;
    }
    std::vector<wait_end> ends;
    for (const auto& item : std::exchange(waiting, {}))
        ends.push_back({ item, credit_outcome::OverLimit, retryAfter });
    endWaits(ends);
}

} // namespace sagesaddle
