#include "Gateway/team_credit_simulation.h"

#include "Base/overloaded.h"
#include "Support/test_time.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

const std::string simulatedTeam = "atelier";
// As in the gateway.
constexpr milliseconds creditLife { 1000 };
constexpr milliseconds silentAfter { 1500 };
constexpr milliseconds lostLeaseCallTimeout { 600 };
constexpr lease_times simulatedLeaseTimes { milliseconds(1700), milliseconds(250), milliseconds(500),
    milliseconds(2000), milliseconds(0) };
constexpr milliseconds otherAcquireDelay { 400 };
// Of the callers.
constexpr milliseconds simulatedObjective { 500 };
constexpr milliseconds simulatedDeadline { 8000 };
constexpr double requestsPerSecond = 60;

std::string prefixOf(int index)
{
    return "g" + std::to_string(index) + "/";
}

fleet_config configOf(double rate, double burst)
{
    team_config team;
    team.name = simulatedTeam;
    team.ratePerSecond = rate;
    team.burst = burst;
    fleet_config config;
    config.teams.push_back(team);
    return config;
}

} // namespace

team_credit_simulation::process::process(
    const std::string& member, const std::string& prefix, const settings& value, monotonic_time now)
    : lease(member, prefix, simulatedLeaseTimes)
    , cache(creditLife, fallbackRateFraction)
    , startedAt(now)
    , storeAnsweredAt(now)
{
    const fleet_config config = configOf(value.ratePerSecond, value.burst);
    duty.onConfig(config, now);
    cache.setLimits(rateLimitsOf(config.teams), now);
}

team_credit_simulation::team_credit_simulation(const settings& value)
    : m_settings(value)
    , m_random(value.seed)
    , m_processes(static_cast<std::size_t>(value.gateways))
    , m_startAt(m_processes.size(), testing::start)
    , m_frozenUntil(m_processes.size())
{
}

void team_credit_simulation::start(int index, monotonic_time now)
{
    m_processes[static_cast<std::size_t>(index)].emplace(
        prefixOf(index) + std::to_string(++m_starts), prefixOf(index), m_settings, now);
}

void team_credit_simulation::fail(monotonic_time now)
{
    const double probability = std::chrono::duration<double>(step).count() / 12;
    const auto isDue = [&](bool isOn) {
        return isOn && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    };
    const auto randomTime = [&](int from, int to) {
        return milliseconds(from + static_cast<int>(m_random() % static_cast<unsigned>(to - from)));
    };
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        auto& each = m_processes[index];
        if (!each || !each->isCoordinating || !isDue(m_settings.killsCoordinators))
            continue;
        if (m_random() % 2 == 0) {
            m_frozenUntil[index] = now + randomTime(300, 4000);
            continue;
        }
        each.reset();
        m_startAt[index] = now + randomTime(100, 4000);
    }
    if (isDue(m_settings.killsAll)) {
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            m_processes[index].reset();
            m_frozenUntil[index] = {};
            m_startAt[index] = now + randomTime(50, 400);
        }
    }
    if (isDue(m_settings.silencesStore))
        m_storeSilentUntil = now + randomTime(500, 5000);
}

bool team_credit_simulation::isLost(const process& of, monotonic_time now) const
{
    return of.newsAt == monotonic_time {}
    || now - of.newsAt >= fleetTimingFor(of.gatewayCount).coordinatorTimeout;
}

bool team_credit_simulation::isStoreSilent(const process& of, monotonic_time now) const
{
    return of.isLeaseCallUnanswered || now - of.storeAnsweredAt >= silentAfter;
}

void team_credit_simulation::advanceLease(process& of, monotonic_time now)
{
    const bool isStoreSilent = now < m_storeSilentUntil;
    // A gateway reads the store itself unless another one confirms the configuration.
    if (!isStoreSilent && (of.isOwnNews || now - of.newsAt >= silentAfter)) {
        of.storeAnsweredAt = now;
        of.isLeaseCallUnanswered = false;
    }
    if (of.unanswered && now >= of.unanswered->first) {
        of.isLeaseCallUnanswered = of.storeAnsweredAt < of.unanswered->first - lostLeaseCallTimeout;
        of.unanswered->second ? of.lease.onAppendUnanswered(now) : of.lease.onReadFailed(now);
        of.unanswered.reset();
    }
    of.lease.setExtraAcquireDelay(
        of.successor.empty() || of.successor == of.lease.knownHolder() ? milliseconds(0) : otherAcquireDelay);
    const auto action = of.lease.nextAction(now, !isLost(of, now) && !of.isOwnNews);
    if (std::holds_alternative<std::monostate>(action))
        return;
    const bool isAppend = std::holds_alternative<coordinator_lease::append>(action);
    if (isStoreSilent) {
        of.unanswered = { now + lostLeaseCallTimeout, isAppend };
        return;
    }
    of.storeAnsweredAt = now;
    of.isLeaseCallUnanswered = false;
    if (!isAppend) {
        of.lease.onRead(m_record, now);
        if (m_record.gateways > 0 && isLost(of, now)) {
            of.gatewayCount = m_record.gateways;
            of.cache.setGatewayCount(m_record.gateways);
        }
        return;
    }
    if (std::get<coordinator_lease::append>(action).at != m_record.end) {
        of.lease.onAppendRejected(now);
        return;
    }
    m_record.end += 1;
    m_record.gateways = of.duty.knownGatewayCount(now);
    of.lease.onAppended(now, m_record.end, now);
    m_record.holder = of.lease.knownHolder();
}

void team_credit_simulation::updateCoordination(process& of, monotonic_time now)
{
    const bool holdsLease = of.lease.holds(now);
    if (holdsLease)
        of.outlasting.onLeaseHeld(now);
    const bool outlives = !holdsLease && of.isCoordinating && !of.isInterim && of.lease.fence() != 0
        && of.outlasting.mayGoOn(of.duty.storeSilence(isStoreSilent(of, now), now), now);
    const bool isSuccessor = !of.successor.empty() && &of == [&]() -> const process* {
        for (const auto& each : m_processes)
            if (each && prefixOf(static_cast<int>(&each - m_processes.data())) == of.successor)
                return &*each;
        return nullptr;
    }();
    of.isInterim = !holdsLease && !outlives && isSuccessor
        && now - of.newsAt >= fleetTimingFor(of.gatewayCount).coordinatorTimeout;
    const bool isCoordinating = holdsLease || outlives || of.isInterim;
    if (isCoordinating && !of.isCoordinating)
        of.duty.beginTerm(of.gatewayCount, now);
    if (!isCoordinating && of.isCoordinating)
        of.duty.endTerm();
    of.isCoordinating = isCoordinating;
    of.duty.setInterimGatewayCount(of.isInterim ? of.gatewayCount : 0, now);
}

int team_credit_simulation::findCoordinator(int index, monotonic_time now)
{
    const auto answers = [&](int candidate, bool isInterim) {
        if (candidate < 0)
            return false;
        const auto& each = m_processes[static_cast<std::size_t>(candidate)];
        return each && each->isCoordinating && each->isInterim == isInterim
            && now >= m_frozenUntil[static_cast<std::size_t>(candidate)];
    };
    process& of = *m_processes[static_cast<std::size_t>(index)];
    // Once the holder of the lease answers, an interim coordinator is not asked any more.
    for (const bool isInterim : { false, true }) {
        if (answers(index, isInterim))
            return index;
        // The connection lasts while it is answered, and for the timeout where it is not.
        if (answers(of.peer, isInterim))
            return of.peer;
        if (!isInterim && of.peer >= 0 && m_processes[static_cast<std::size_t>(of.peer)] && !isLost(of, now))
            return -1;
        std::vector<int> others;
        for (int candidate = 0; candidate < m_settings.gateways; ++candidate) {
            if (answers(candidate, isInterim))
                others.push_back(candidate);
        }
        if (!others.empty())
            return others[m_random() % others.size()];
    }
    return -1;
}

void team_credit_simulation::report(int index, monotonic_time now)
{
    process& of = *m_processes[static_cast<std::size_t>(index)];
    const bool isFull = now - of.reportedAt >= fleetTimingFor(of.gatewayCount).reportInterval;
    const bool isUrgent = std::any_of(
        of.waiting.begin(), of.waiting.end(), [](const waiting_request& item) { return !item.isRequested; });
    const int target = isFull || isUrgent ? findCoordinator(index, now) : -1;
    if (target < 0)
        return;
    if (std::exchange(of.peer, target) != target)
        std::for_each(of.waiting.begin(), of.waiting.end(), [](auto& item) { item.isRequested = false; });
    of.reportedAt = now;
    process& to = *m_processes[static_cast<std::size_t>(target)];
    // A process that was suspended checks its lease before it answers.
    updateCoordination(to, now);
    if (!to.isCoordinating)
        return;
    fleet_report sent;
    sent.gateway = prefixOf(index);
    sent.member = prefixOf(index);
    sent.isStoreUnreachable = isStoreSilent(of, now);
    double needed = 0;
    for (auto& item : of.waiting)
        needed += std::exchange(item.isRequested, true) ? 0 : item.tokens;
    sent.credit.push_back({ simulatedTeam, needed, of.cache.tokensToPrefetch(simulatedTeam, now),
        needed > 0 ? 0 : of.cache.removeIdleCredit(simulatedTeam, now) });
    const fleet_update update = to.duty.onReport(sent, now);
    (to.isInterim ? of.interimNewsAt : of.newsAt) = now;
    if (!to.isInterim) {
        of.isOwnNews = target == index;
        of.gatewayCount = std::max(update.gatewayCount, 1U);
        of.cache.setGatewayCount(of.gatewayCount);
        of.successor = to.duty.chooseSuccessor(prefixOf(target), now);
        of.lease.onHolderAnnounced(to.lease.record(), now);
    }
    of.cache.setFallbackActive(false, now);
    for (const auto& grant : update.credit) {
        m_grantsBeyondLease += grant.tokens > 0 && !to.isInterim && !to.lease.holds(now) ? 1 : 0;
        of.cache.onGrant(grant.name, grant.tokens, now);
        serve(of, now);
        if (grant.retryAfterMs > 0)
            of.waiting.clear();
    }
}

void team_credit_simulation::serve(process& of, monotonic_time now)
{
    while (!of.waiting.empty() && of.cache.trySpend(simulatedTeam, of.waiting.front().tokens, now)) {
        m_spent.emplace_back(now, of.waiting.front().tokens);
        of.waiting.pop_front();
    }
}

void team_credit_simulation::run()
{
    const double stepSeconds = std::chrono::duration<double>(step).count();
    for (monotonic_time now = testing::start; now < testing::start + end; now += step) {
        fail(now);
        if (now >= m_phaseEndsAt) {
            m_isBusy = !m_isBusy;
            m_phaseEndsAt = now + milliseconds(2000 + m_random() % 10000);
        }
        for (double due = requestsPerSecond * stepSeconds;
             due >= 1 || std::uniform_real_distribution<double>(0, 1)(m_random) < due; due -= 1) {
            auto& to = m_processes[m_random() % m_processes.size()];
            if (to && m_isBusy)
                to->waiting.push_back({ now,
                    m_settings.demand / requestsPerSecond
                        * std::uniform_real_distribution<double>(0, 2)(m_random),
                    false });
        }
        for (int index = 0; index < m_settings.gateways; ++index) {
            const auto at = static_cast<std::size_t>(index);
            if (!m_processes[at] && now >= m_startAt[at])
                start(index, now);
            if (!m_processes[at] || now < m_frozenUntil[at])
                continue;
            process& each = *m_processes[at];
            advanceLease(each, now);
            updateCoordination(each, now);
            const monotonic_time answeredAt = std::max(each.newsAt, each.interimNewsAt);
            const bool hasAnswered = answeredAt != monotonic_time {};
            const coordination_state state { std::chrono::duration_cast<milliseconds>(
                                                 now - (hasAnswered ? answeredAt : each.startedAt)),
                hasAnswered, !each.successor.empty(), now - each.storeAnsweredAt >= silentAfter,
                each.gatewayCount };
            const bool isInterimHeard = each.interimNewsAt != monotonic_time {}
                && now - each.interimNewsAt < fleetTimingFor(each.gatewayCount).coordinatorTimeout;
            each.cache.setFallbackActive(isLost(each, now) && !isInterimHeard, now);
            serve(each, now);
            std::erase_if(each.waiting, [&](const waiting_request& item) {
                const auto waited = std::chrono::duration_cast<milliseconds>(now - item.arrivedAt);
                return std::holds_alternative<refuse_uncredited>(decideCreditWait(
                    state, { simulatedObjective, simulatedDeadline - waited, waited, each.waiting.size() }));
            });
            report(index, now);
        }
    }
}

double team_credit_simulation::mostInWindow() const
{
    double inWindow = 0;
    double most = 0;
    auto oldest = m_spent.begin();
    for (const auto& [at, tokens] : m_spent) {
        inWindow += tokens;
        for (; oldest->first <= at - window; ++oldest)
            inWindow -= oldest->second;
        most = std::max(most, inWindow);
    }
    return most;
}

double team_credit_simulation::use() const
{
    double sum = 0;
    for (const auto& [at, tokens] : m_spent)
        sum += tokens;
    return sum / (m_settings.ratePerSecond * static_cast<double>(end.count()));
}

} // namespace sagesaddle
