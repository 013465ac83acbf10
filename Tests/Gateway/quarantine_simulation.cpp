#include "Gateway/quarantine_simulation.h"

#include "Support/test_time.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

using testing::start;

constexpr milliseconds step { 10 };
constexpr seconds crashingFrom { 3 };
constexpr seconds end { 24 };
constexpr milliseconds massCrashAt { 9000 };
// From a broken connection until the gateway is certain of a crash.
constexpr milliseconds detection { 160 };
constexpr milliseconds restartTime { 3000 };
constexpr milliseconds answerBeginning { 250 };
constexpr milliseconds answerTime { 1200 };
constexpr milliseconds decisionInterval { 150 };
// The last time at which nobody coordinates any more.
constexpr seconds lastTotalLoss { 11 };
constexpr seconds longestTotalLoss { 3 };
constexpr milliseconds ruleTime { 3000 };
constexpr std::size_t ruleCrash = 5;
constexpr std::uint64_t commonPart = 1;
constexpr std::uint64_t firstRarePart = 100;
constexpr std::uint64_t rareParts = 60;
constexpr std::uint64_t firstCrashingPart = 0xdead0000;

} // namespace

quarantine_simulation::quarantine_simulation(const settings& value)
    : m_settings(value)
    , m_random(value.seed)
    , m_engines(static_cast<std::size_t>(std::clamp(value.gateways, 8, 150)))
    , m_gateways(static_cast<std::size_t>(value.gateways))
{
    m_coordinator.emplace();
    m_coordinator->beginTerm(static_cast<unsigned>(value.gateways), start);
    for (auto& gateway : m_gateways)
        gateway.reportDueAt = start + milliseconds(m_random() % 100);
    for (int part = 0; part < value.crashingParts; ++part)
        m_crashing[firstCrashingPart + static_cast<std::uint64_t>(part)];
}

bool quarantine_simulation::isDrawn(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void quarantine_simulation::updateCoordinator(monotonic_time now)
{
    const double stepSeconds = std::chrono::duration<double>(step).count();
    const bool maySuffer = m_settings.loss == coordinator_loss::Successor
        || (m_settings.loss == coordinator_loss::Total && now < start + lastTotalLoss);
    if (m_coordinator && maySuffer && isDrawn(stepSeconds / 5)) {
        m_coordinator.reset();
        m_coordinatorBackAt = now
            + (m_settings.loss == coordinator_loss::Successor ? milliseconds(100 + m_random() % 500)
                                                              : milliseconds(500 + m_random() % 2500));
        for (auto& gateway : m_gateways) {
            gateway.quarantine.onReportsLost();
            gateway.unread.clear();
            gateway.wantsFullUpdate = true;
        }
    }
    if (!m_coordinator && now >= m_coordinatorBackAt) {
        m_coordinator.emplace();
        m_coordinator->beginTerm(static_cast<unsigned>(m_settings.gateways), now);
    }
}

void quarantine_simulation::disturb(monotonic_time now)
{
    const double stepSeconds = std::chrono::duration<double>(step).count();
    if (!m_settings.disturbsGateways || m_gateways.size() < 2 || !isDrawn(stepSeconds))
        return;
    auto& gateway = m_gateways.at(m_random() % m_gateways.size());
    if (isDrawn(0.5))
        gateway.frozenUntil = now + milliseconds(500 + m_random() % 3500);
    else {
        gateway = {};
        gateway.frozenUntil = now + milliseconds(1000);
        gateway.reportDueAt = gateway.frozenUntil;
    }
    gateway.disturbedUntil = gateway.frozenUntil + ruleTime;
}

void quarantine_simulation::sendRequest(monotonic_time now)
{
    const std::size_t index = m_random() % m_gateways.size();
    gateway_state& gateway = m_gateways[index];
    if (now < gateway.frozenUntil)
        return;
    request added { index, { commonPart }, now, {}, false, false, 0 };
    if (isDrawn(0.4))
        added.parts.push_back(firstRarePart + m_random() % rareParts);
    std::uint64_t crashing = 0;
    if (now >= start + crashingFrom && !m_crashing.empty() && isDrawn(m_settings.crashingShare)) {
        crashing = firstCrashingPart + m_random() % m_crashing.size();
        added.parts.push_back(crashing);
        added.isCrashing = true;
    } else {
        added.record = m_sound.size();
        m_sound.push_back({ now, false });
    }
    if (gateway.quarantine.timeToEnd(added.parts, now))
        return;
    std::vector<std::size_t> up;
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (now >= m_engines[engine].downUntil)
            up.push_back(engine);
    }
    if (up.empty())
        return;
    if (added.isCrashing && now >= gateway.disturbedUntil)
        m_crashing[crashing].arrivals.push_back(now);
    added.beginsAt = now + milliseconds(30 + m_random() % 300);
    m_engines[up[m_random() % up.size()]].requests.push_back(std::move(added));
}

void quarantine_simulation::crash(engine_state& engine, std::size_t index, monotonic_time now)
{
    ++m_crashCount;
    engine.downUntil = now + restartTime;
    std::map<std::size_t, std::set<std::uint64_t>> pending;
    for (const auto& item : engine.requests) {
        if (!item.isUnderWay)
            pending[item.gateway].insert(item.parts.begin(), item.parts.end());
    }
    const upstream_process process { "u" + std::to_string(index), engine.startedAt++ };
    for (const auto& [gateway, parts] : pending)
        m_gateways[gateway].unnoticed.push_back({ process, now, { parts.begin(), parts.end() } });
    engine.requests.clear();
}

void quarantine_simulation::advance(engine_state& engine, std::size_t index, monotonic_time now)
{
    const auto crashing = std::find_if(engine.requests.begin(), engine.requests.end(),
        [&](const request& item) { return item.isCrashing && now >= item.beginsAt; });
    if (crashing != engine.requests.end()) {
        m_crashing[crashing->parts.back()].crashes.push_back(now);
        crash(engine, index, now);
        return;
    }
    for (auto& item : engine.requests) {
        gateway_state& gateway = m_gateways[item.gateway];
        if (!item.isUnderWay && now >= item.beginsAt + answerBeginning && now >= gateway.frozenUntil) {
            item.isUnderWay = true;
            gateway.quarantine.onAnswerUnderWay(item.parts, now);
            m_sound[item.record].isAnswered = true;
        }
    }
    std::erase_if(engine.requests,
        [&](const request& item) { return now >= item.beginsAt + answerTime && item.isUnderWay; });
}

void quarantine_simulation::note(const std::vector<quarantined_part>& added)
{
    for (const auto& item : added) {
        if (!m_crashing.contains(item.part))
            m_quarantinedSound.insert(item.part);
    }
}

void quarantine_simulation::report(gateway_state& gateway, std::size_t index, monotonic_time now)
{
    const bool isFull = now >= gateway.reportDueAt;
    if (!m_coordinator || (!isFull && !gateway.quarantine.hasUrgentReport()))
        return;
    fleet_report report;
    report.gateway = "g" + std::to_string(index);
    report.isOnlyCredit = !isFull;
    report.wantsFullUpdate = std::exchange(gateway.wantsFullUpdate, false);
    report.quarantine = gateway.quarantine.takeReport(now);
    if (isFull)
        gateway.reportDueAt = now + fleetTimingFor(static_cast<unsigned>(m_settings.gateways)).reportInterval;
    const fleet_update update = m_coordinator->onReport(report, now);
    if (update.quarantine)
        note(gateway.quarantine.onTold(*update.quarantine, now));
    if (const auto told = m_coordinator->takeQuarantineBroadcast(now)) {
        for (auto& other : m_gateways)
            other.unread.push_back(*told);
    }
}

void quarantine_simulation::advance(gateway_state& gateway, std::size_t index, monotonic_time now)
{
    if (now < gateway.frozenUntil)
        return;
    while (!gateway.unnoticed.empty() && now >= gateway.unnoticed.front().at + detection) {
        gateway.quarantine.onCrash(gateway.unnoticed.front());
        gateway.unnoticed.pop_front();
    }
    for (const auto& told : std::exchange(gateway.unread, {}))
        note(gateway.quarantine.onTold(told, now));
    if (now - gateway.decidedAt >= decisionInterval) {
        gateway.decidedAt = now;
        for (const auto& decision : gateway.quarantine.update(m_coordinator.has_value(), now))
            note({ decision.part });
    }
    report(gateway, index, now);
}

void quarantine_simulation::run()
{
    const double stepSeconds = std::chrono::duration<double>(step).count();
    const double rate = std::min(20.0 * m_settings.gateways + 20, 1500.0);
    for (monotonic_time now = start; now < start + end; now += step) {
        updateCoordinator(now);
        disturb(now);
        double requests = rate * stepSeconds;
        for (; requests >= 1 || isDrawn(requests); requests -= 1)
            sendRequest(now);
        if (isDrawn(m_settings.otherCrashes * stepSeconds)) {
            const std::size_t index = m_random() % m_engines.size();
            if (now >= m_engines[index].downUntil)
                crash(m_engines[index], index, now);
        }
        for (std::size_t index = 0; index < m_engines.size(); ++index) {
            if (m_settings.otherCrashes > 0 && now == start + massCrashAt && index % 2 == 0)
                crash(m_engines[index], index, now);
            advance(m_engines[index], index, now);
        }
        for (std::size_t index = 0; index < m_gateways.size(); ++index)
            advance(m_gateways[index], index, now);
    }
}

int quarantine_simulation::mostLateArrivals() const
{
    std::ptrdiff_t most = 0;
    for (const auto& [part, seen] : m_crashing) {
        if (seen.crashes.size() < ruleCrash)
            continue;
        monotonic_time known = seen.crashes[ruleCrash - 1] + ruleTime;
        // A gateway that nobody coordinates sees too few crashes.
        if (m_settings.loss == coordinator_loss::Total)
            known = std::max(known, start + lastTotalLoss + longestTotalLoss + ruleTime);
        most = std::max(most,
            std::count_if(
                seen.arrivals.begin(), seen.arrivals.end(), [&](monotonic_time at) { return at > known; }));
    }
    return static_cast<int>(most);
}

double quarantine_simulation::soundShare() const
{
    monotonic_time from = start + crashingFrom;
    for (const auto& [part, seen] : m_crashing) {
        if (!seen.crashes.empty())
            from = std::max(from, seen.crashes[std::min(seen.crashes.size(), ruleCrash) - 1]);
    }
    from += 2 * ruleTime;
    double sent = 0;
    double answered = 0;
    for (const auto& record : m_sound) {
        if (record.at < from || record.at > start + end - seconds(1))
            continue;
        ++sent;
        answered += record.isAnswered ? 1 : 0;
    }
    return sent == 0 ? 1 : answered / sent;
}

} // namespace sagesaddle
