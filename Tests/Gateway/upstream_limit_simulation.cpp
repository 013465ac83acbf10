#include "Gateway/upstream_limit_simulation.h"

#include "Gateway/request_limit_rule.h"
#include "Support/test_time.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

using testing::start;

const std::string simulatedUpstream = "u1";
constexpr milliseconds upstreamAnswerTime { 80 };
constexpr milliseconds callerPatience { 300 };
constexpr milliseconds leaseTakeover { 1800 };
// Longest time until the coordinator, and a gateway without one, reads a record of the list.
constexpr int longestListRead = 200;
constexpr int longestOwnListRead = 700;
constexpr monotonic_time never = monotonic_time::max();

bool isDrawn(std::minstd_rand& random, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

} // namespace

upstream_limit_simulation::upstream_limit_simulation(const settings& value)
    : m_settings(value)
    , m_random(value.seed)
    , m_gateways(static_cast<std::size_t>(value.gateways))
{
    m_config.services = { { "desk", 0, std::nullopt, value.coldPerSecond, coldTime } };
    m_record = { simulatedUpstream, 1, upstream_entry {} };
    m_record.entry->id = simulatedUpstream;
    m_record.entry->service = "desk";
    m_record.entry->startedAt = 1;
    m_list.onRecord(m_record, start);
    m_listReadAt = never;
    startCoordinator(start);
    const milliseconds interval = fleetTimingFor(static_cast<unsigned>(value.gateways)).reportInterval;
    for (auto& gateway : m_gateways) {
        gateway.cold.onConfig(m_config.services);
        readRecord(gateway, m_record, start);
        gateway.credit.setGatewayCount(static_cast<unsigned>(value.gateways));
        gateway.credit.setFallbackActive(false, start);
        gateway.reportDueAt = start + milliseconds(m_random() % interval.count());
    }
}

void upstream_limit_simulation::startCoordinator(monotonic_time now)
{
    m_coordinator.emplace();
    m_coordinator->onConfig(m_config, now);
    m_coordinator->onUpstreams(m_list, now);
    m_coordinator->beginTerm(static_cast<unsigned>(m_settings.gateways), now);
}

void upstream_limit_simulation::turnCold(monotonic_time now)
{
    const bool isStart = m_random() % 2 == 0;
    m_record.entry->startedAt += isStart ? 1 : 0;
    m_record.entry->coldRemaining = coldTime;
    m_record.offset += 1;
    m_coldEvents.push_back({ now, m_record.entry->startedAt, isStart });
    m_listReadAt = now + milliseconds(m_random() % longestListRead);
    for (auto& gateway : m_gateways)
        gateway.readsListAt = now + milliseconds(m_random() % longestOwnListRead);
}

void upstream_limit_simulation::readRecord(
    gateway_state& gateway, const upstream_record& record, monotonic_time now)
{
    gateway.list.onRecord(record, now);
    gateway.cold.onUpstreams(gateway.list.entries(), now);
    gateway.credit.onUpstreams({ { simulatedUpstream, record.entry->startedAt } }, now);
    gateway.credit.setColdLimits(gateway.cold.inForce(now), now);
    if (record.offset == m_record.offset)
        gateway.readsListAt = never;
}

void upstream_limit_simulation::readListed(
    gateway_state& gateway, const listed_upstream& item, monotonic_time now)
{
    upstream_record record { item.upstream, item.offset, m_record.entry };
    record.entry->startedAt = item.startedAt;
    record.entry->coldRemaining = item.coldRemaining;
    readRecord(gateway, record, now);
}

void upstream_limit_simulation::readColdBroadcast(monotonic_time now)
{
    if (!m_coordinator)
        return;
    m_coordinator->onUpstreams(m_list, now);
    const auto told = m_coordinator->takeColdBroadcast(now);
    for (auto& gateway : m_gateways) {
        if (told && now >= gateway.frozenUntil)
            readListed(gateway, told->listed.at(0), now);
    }
}

void upstream_limit_simulation::failCoordinator(monotonic_time now)
{
    m_coordinator.reset();
    const bool hasSuccessor = m_settings.loss == coordinator_loss::Successor;
    m_coordinatorBackAt = now + milliseconds(hasSuccessor ? 100 + m_random() % 500 : 500 + m_random() % 2500);
    m_leaseTakenAt = hasSuccessor ? std::optional(now + leaseTakeover) : std::nullopt;
    for (auto& gateway : m_gateways) {
        gateway.credit.onReportsLost();
        gateway.credit.setFallbackActive(true, now);
        gateway.wantsFullUpdate = true;
        gateway.isUrgent = gateway.credit.hasUrgentReport();
    }
}

void upstream_limit_simulation::restoreCoordinator(monotonic_time now)
{
    const auto count = static_cast<unsigned>(m_settings.gateways);
    if (!m_coordinator && now >= m_coordinatorBackAt) {
        startCoordinator(now);
        m_coordinator->setInterimGatewayCount(m_leaseTakenAt ? count : 0, now);
        for (auto& gateway : m_gateways)
            gateway.credit.setFallbackActive(false, now);
    }
    if (m_coordinator && m_leaseTakenAt && now >= *m_leaseTakenAt) {
        m_coordinator->setInterimGatewayCount(0, now);
        m_leaseTakenAt.reset();
    }
}

void upstream_limit_simulation::report(gateway_state& gateway, int index, monotonic_time now)
{
    const fleet_timing timing = fleetTimingFor(static_cast<unsigned>(m_settings.gateways));
    const bool isFull = now >= gateway.reportDueAt;
    if (!m_coordinator || (!isFull && !gateway.credit.hasUrgentReport()))
        return;
    fleet_report report;
    report.gateway = "g" + std::to_string(index);
    report.isOnlyCredit = !isFull;
    report.wantsFullUpdate = std::exchange(gateway.wantsFullUpdate, false);
    report.sendCredit = gateway.credit.takeRequests(now);
    if (isFull)
        gateway.reportDueAt = now + timing.reportInterval;
    const fleet_update update = m_coordinator->onReport(report, now);
    for (const auto& item : update.listed)
        readListed(gateway, item, now);
    for (const auto& limit : update.upstreamLimits)
        gateway.credit.onTold(limit, now);
    for (const auto& grant : update.sendCredit)
        gateway.credit.onGrant(grant.name, grant.tokens, milliseconds(grant.retryAfterMs), now, now);
}

void upstream_limit_simulation::sendWaiting(gateway_state& gateway, int index, monotonic_time now)
{
    while (!gateway.waiting.empty()) {
        if (now > gateway.waiting.front()) {
            gateway.waiting.pop_front();
            continue;
        }
        const std::int64_t startedAt = gateway.list.entries().at(simulatedUpstream).startedAt;
        // The process that the gateway knows is gone, so that it cannot connect.
        if (startedAt != m_record.entry->startedAt) {
            gateway.waiting.pop_front();
            continue;
        }
        if (!gateway.credit.trySpend(simulatedUpstream, now)) {
            if (gateway.credit.refusedFor(simulatedUpstream, now) > milliseconds(0))
                gateway.waiting.clear();
            else
                gateway.credit.request(simulatedUpstream, true);
            return;
        }
        gateway.waiting.pop_front();
        m_arrivals.push_back(
            { now, index, now < gateway.excusedUntil, gateway.toldAt.has_value(), startedAt });
        const bool isStated = now >= start + limitStatedAt;
        gateway.answers.emplace_back(now + upstreamAnswerTime,
            upstream_limit { simulatedUpstream, isStated ? m_settings.requestsPerSecond : std::nullopt },
            now);
    }
}

void upstream_limit_simulation::advance(gateway_state& gateway, int index, monotonic_time now)
{
    if (now < gateway.frozenUntil)
        return;
    for (; !gateway.answers.empty() && std::get<0>(gateway.answers.front()) <= now;
         gateway.answers.pop_front()) {
        const auto& [at, limit, sentAt] = gateway.answers.front();
        gateway.credit.onAnswer(limit, sentAt, now);
        if (limit.requestsPerSecond && !gateway.toldAt)
            gateway.toldAt = now;
    }
    if (now >= gateway.readsListAt && !m_coordinator)
        readRecord(gateway, m_record, now);
    // As the relay does, a gateway that stood still reads first what changed.
    if (m_settings.coldPerSecond == 0 || !gateway.standstill.isCatchingUp(now))
        sendWaiting(gateway, index, now);
    report(gateway, index, now);
    gateway.isUrgent = gateway.credit.hasUrgentReport();
}

void upstream_limit_simulation::run()
{
    const double stepSeconds = std::chrono::duration<double>(step).count();
    const auto count = static_cast<unsigned>(m_settings.gateways);
    for (monotonic_time now = start; now < start + end; now += step) {
        for (auto& gateway : m_gateways) {
            if (now >= gateway.frozenUntil)
                gateway.standstill.isCatchingUp(now);
        }
        if (m_coordinator && m_settings.loss != coordinator_loss::None && isDrawn(m_random, stepSeconds / 5))
            failCoordinator(now);
        if (m_settings.coldPerSecond > 0 && isDrawn(m_random, stepSeconds / 5)
            && (m_coldEvents.empty() || now - m_coldEvents.back().at > coldTime))
            turnCold(now);
        if (now >= m_listReadAt) {
            m_list.onRecord(m_record, now);
            m_listReadAt = never;
            readColdBroadcast(now);
        }
        restoreCoordinator(now);
        if (m_settings.freezesGateways && isDrawn(m_random, stepSeconds / 2)) {
            auto& frozen = m_gateways.at(m_random() % count);
            frozen.frozenUntil = now + milliseconds(500 + m_random() % 3500);
            frozen.excusedUntil = frozen.frozenUntil + request_limit_rule::window;
        }
        double requests = m_settings.demand * stepSeconds;
        for (; requests >= 1 || isDrawn(m_random, requests); requests -= 1)
            m_gateways.at(m_random() % count).waiting.push_back(now + callerPatience);
        for (int index = 0; index < m_settings.gateways; ++index) {
            gateway_state& gateway = m_gateways[static_cast<std::size_t>(index)];
            if (gateway.isDue(now))
                advance(gateway, index, now);
        }
    }
}

template <typename Counts> int upstream_limit_simulation::mostInWindow(const Counts& counts) const
{
    int most = 0;
    auto first = m_arrivals.begin();
    for (auto last = m_arrivals.begin(); last != m_arrivals.end(); ++last) {
        while (first->at <= last->at - request_limit_rule::window)
            ++first;
        if (last->at < start + limitStatedAt + request_limit_rule::grace)
            continue;
        const auto inWindow = std::count_if(first, last + 1, [&](const arrival& item) {
            const auto& toldAt = m_gateways.at(static_cast<std::size_t>(item.gateway)).toldAt;
            return !item.isExcused && toldAt && *toldAt + request_limit_rule::toldBefore <= last->at
                && counts(item);
        });
        most = std::max(most, static_cast<int>(inWindow));
    }
    return most;
}

int upstream_limit_simulation::mostInWindow() const
{
    return mostInWindow([](const arrival&) { return true; });
}

int upstream_limit_simulation::mostInWindowOfTold() const
{
    return mostInWindow([](const arrival& item) { return item.isTold; });
}

int upstream_limit_simulation::mostInColdWindow() const
{
    int most = 0;
    for (const auto& event : m_coldEvents) {
        const monotonic_time from = event.at + (event.isStart ? milliseconds(0) : cold_limit_rule::known);
        std::deque<monotonic_time> window;
        for (const auto& item : m_arrivals) {
            if (item.startedAt != event.startedAt || item.at < from || item.at > event.at + coldTime)
                continue;
            window.push_back(item.at);
            while (window.front() <= item.at - cold_limit_rule::window)
                window.pop_front();
            most = std::max(most, static_cast<int>(window.size()));
        }
    }
    return most;
}

double upstream_limit_simulation::coldThroughput() const
{
    double count = 0;
    double elapsed = 0;
    for (const auto& event : m_coldEvents) {
        // The debt of an upstream in use ends a second after the coordinator has read the list.
        const monotonic_time from = event.at + cold_limit_rule::known * (event.isStart ? 1 : 2);
        const monotonic_time until = std::min<monotonic_time>(event.at + coldTime, start + end);
        count += static_cast<double>(std::count_if(m_arrivals.begin(), m_arrivals.end(),
            [&](const arrival& item) { return item.at >= from && item.at < until; }));
        elapsed += std::max(0.0, secondsBetween(from, until));
    }
    return elapsed > 0 ? count / elapsed : 0;
}

double upstream_limit_simulation::throughput() const
{
    const monotonic_time from = start + limitStatedAt + seconds(4);
    const auto count = std::count_if(
        m_arrivals.begin(), m_arrivals.end(), [&](const arrival& item) { return item.at >= from; });
    return static_cast<double>(count) / secondsBetween(from, start + end);
}

} // namespace sagesaddle
