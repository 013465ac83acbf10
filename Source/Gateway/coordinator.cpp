#include "Gateway/coordinator.h"

#include "Limit/credit_cache.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <utility>

namespace sagesaddle {

namespace {

// Time for which a silent gateway still counts among those that share the limits, since it may be cut off
// only from this one. Longer cuts are rare. After this time the whole limits are granted here, and a gateway
// that is still cut off spends its part of the fallback allowance beyond them: with 100 gateways a hundredth
// of half of each limit.
constexpr milliseconds membershipTimeout { 20000 };

// Shortest time between two searches of all model trackers for changes. In a large fleet reports arrive more
// often.
constexpr milliseconds historyUpdateInterval { 20 };

// Unwritten bytes of answers above which no full update is sent; a list of 3,000 upstreams takes 1 MB.
constexpr std::size_t maxUnwrittenAnswerBytes = std::size_t { 8 } << 20U;
// Shortest time between two full updates, for each listed upstream. The weakest host that is fit to
// coordinate spends about 6 us on each upstream, and must keep answering requests for credit meanwhile.
constexpr std::chrono::microseconds fullUpdateIntervalPerUpstream { 15 };

// Differences of load that are too small to change the choice of an upstream.
constexpr int inFlightTolerance = 1;
constexpr std::int64_t tokensAheadTolerance = 400;
constexpr std::int64_t kvCacheTokensTolerance = 3000;

bool isNegligibleChange(const peer_work& sent, const peer_work& value)
{
    // The start and the end of all work at an upstream are always sent.
    if ((sent.inFlight == 0) != (value.inFlight == 0))
        return false;
    return std::abs(value.inFlight - sent.inFlight) <= inFlightTolerance
        && std::abs(std::int64_t { value.tokensAhead } - sent.tokensAhead) <= tokensAheadTolerance
        && std::abs(std::int64_t { value.kvCacheTokens } - sent.kvCacheTokens) <= kvCacheTokensTolerance;
}

// Work beyond the range of the message is sent as the largest number that the message holds.
peer_work makePeerWork(std::size_t number, const upstream_work& sum)
{
    const auto bounded = [](double value) {
        return static_cast<std::uint32_t>(
            std::clamp(value, 0.0, static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
    };
    return { static_cast<std::uint16_t>(number),
        static_cast<std::uint16_t>(
            std::min<std::uint32_t>(sum.inFlight, std::numeric_limits<std::uint16_t>::max())),
        bounded(sum.tokensAhead), bounded(sum.kvCacheTokens) };
}

} // namespace

void coordinator::onConfig(const fleet_config& config, monotonic_time now)
{
    m_teamLimits = rateLimitsOf(config.teams);
    m_buckets.setLimits(m_teamLimits, now);
    m_engines.clear();
    for (const auto& service : config.services) {
        if (!service.engine)
            continue;
        m_engines.emplace(service.name, std::make_shared<const engine_config>(*service.engine));
        m_planners.try_emplace(service.name, service.engine->loadsPerSecond);
    }
    m_coldLimits.onConfig(config.services);
    applyColdLimits(now);
    createMissingTrackers();
}

void coordinator::applyColdLimits(monotonic_time now)
{
    m_upstreamLimits.setColdLimits(m_coldLimits.inForce(now), now);
}

void coordinator::beginTerm(unsigned expectedGateways, monotonic_time now)
{
    m_expectedGateways = expectedGateways;
    m_termBegunAt = now;
    m_buckets = {};
    m_buckets.setLimits(m_teamLimits, now);
    m_upstreamLimits.clear();
    m_paces.clear();
    applyColdLimits(now);
    m_gateways.clear();
    for (auto& sum : m_totalWork)
        sum = { sum.upstream };
    m_trackers.clear();
    m_trackerHistories.clear();
    m_historiesUpdatedAt = {};
    m_planners.clear();
    for (const auto& [name, engine] : m_engines)
        m_planners.try_emplace(name, engine->loadsPerSecond);
    m_isActive = true;
    createMissingTrackers();
}

void coordinator::setInterimGatewayCount(unsigned gatewayCount, monotonic_time now)
{
    if (gatewayCount > 0 && m_interimGatewayCount == 0) {
        m_buckets.emptyAll(now);
        m_upstreamLimits.emptyAll(now);
    }
    m_interimGatewayCount = gatewayCount;
    updateGrantableShare(now);
}

void coordinator::updateGrantableShare(monotonic_time now)
{
    const double share = grantableShare(now);
    m_buckets.setGrantableFraction(share, now);
    // The coordinator that fell silent may still grant the rest, also for the gateways that report here.
    const bool isInterim = m_interimGatewayCount > 0;
    m_upstreamLimits.setGrantableFraction(share, isInterim ? share * fallbackRateFraction : share, now);
}

std::string coordinator::chooseSuccessor(const std::string& self, monotonic_time now)
{
    const milliseconds maxReportAge = timing().maxReportAge;
    const auto isCandidate = [&](const auto& item) {
        return item.first != self && !item.second.member.empty()
            && now - item.second.reportedAt <= maxReportAge;
    };
    // The successor stays the same while it reports, so that all gateways know the same one.
    const auto current = m_gateways.find(m_successor);
    if (current != m_gateways.end() && isCandidate(*current))
        return current->second.member;
    const auto found = std::find_if(m_gateways.begin(), m_gateways.end(), isCandidate);
    m_successor = found == m_gateways.end() ? std::string() : found->first;
    return found == m_gateways.end() ? std::string() : found->second.member;
}

void coordinator::endTerm()
{
    m_isActive = false;
    m_trackers.clear();
    m_gateways.clear();
}

void coordinator::onUpstreams(const upstream_list& list, monotonic_time now)
{
    ++m_listRevision;
    for (auto& [id, upstream] : m_upstreams) {
        if (upstream.isRemoved || list.entries().contains(id))
            continue;
        upstream.isRemoved = true;
        upstream.revision = m_listRevision;
        // A removal without a record of its own gets an offset behind the entry's last record.
        upstream.offset = std::max(list.offsetOf(id), upstream.offset + 1);
        dropTracker(id, upstream.number);
        m_paces.remove(id);
    }
    for (const auto& [id, entry] : list.entries()) {
        const auto [position, isNew] = m_upstreams.try_emplace(id);
        versioned_upstream& upstream = position->second;
        if (!isNew && !upstream.isRemoved && upstream.entry == entry)
            continue;
        if (!upstream.entry.isSameProcess(entry))
            dropTracker(id, upstream.number);
        if (!isNew && !upstream.entry.isSameProcess(entry)) {
            m_upstreamLimits.onProcessReplaced(id, now);
            m_paces.onProcessReplaced(id);
        } else if (!isNew && entry.coldUntil > now && upstream.entry.coldUntil <= now) {
            m_turnedCold.push_back(id);
        }
        upstream = { entry, list.offsetOf(id), m_listRevision, false, numberFor(id) };
    }
    m_coldLimits.onUpstreams(list.entries(), now);
    applyColdLimits(now);
    createMissingTrackers();
    releaseRemovedUpstreams();
}

void coordinator::onEvacuations(const evacuated_zones& evacuated)
{
    if (evacuated == m_evacuated)
        return;
    m_evacuated = evacuated;
    ++m_evacuationRevision;
}

bool coordinator::isEvacuated(const std::string& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found != m_upstreams.end() && m_evacuated.zones.contains(found->second.entry.zone);
}

std::uint16_t coordinator::numberFor(const std::string& upstream)
{
    const auto found = m_numbers.find(upstream);
    if (found != m_numbers.end())
        return found->second;
    if (m_freeNumbers.empty()) {
        m_freeNumbers.push_back(static_cast<std::uint16_t>(m_totalWork.size()));
        m_totalWork.emplace_back();
    }
    const std::uint16_t number = m_freeNumbers.back();
    m_freeNumbers.pop_back();
    m_totalWork[number] = { upstream };
    m_numbers.emplace(upstream, number);
    return number;
}

void coordinator::releaseRemovedUpstreams()
{
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const versioned_upstream& upstream = entry->second;
        const bool isReleasable = upstream.isRemoved && m_totalWork[upstream.number].inFlight == 0
            && std::all_of(m_gateways.begin(), m_gateways.end(),
                [&](const auto& item) { return item.second.sentListRevision >= upstream.revision; });
        if (!isReleasable) {
            ++entry;
            continue;
        }
        // The next upstream with that number must not be compared with the work that was sent for this one.
        for (auto& [name, state] : m_gateways) {
            if (upstream.number < state.sentWork.size())
                state.sentWork[upstream.number] = { upstream.number };
        }
        m_freeNumbers.push_back(upstream.number);
        m_numbers.erase(entry->first);
        entry = m_upstreams.erase(entry);
    }
}

void coordinator::createMissingTrackers()
{
    if (!m_isActive)
        return;
    for (const auto& [id, upstream] : m_upstreams) {
        const auto engine = m_engines.find(upstream.entry.service);
        if (!upstream.isRemoved && engine != m_engines.end())
            m_trackers.try_emplace(id, id, engine->second);
    }
}

void coordinator::dropTracker(const std::string& upstream, std::uint16_t number)
{
    m_trackers.erase(upstream);
    if (number < m_trackerHistories.size())
        m_trackerHistories[number] = {};
}

void coordinator::replaceWork(gateway_state& from, const std::vector<upstream_work>& work)
{
    for (const auto& [number, old] : from.work) {
        auto& sum = m_totalWork[number];
        sum.inFlight -= old.inFlight;
        sum.tokensAhead -= old.tokensAhead;
        sum.kvCacheTokens -= old.kvCacheTokens;
        // Removes the rounding error that sums and differences of fractions leave.
        if (sum.inFlight == 0)
            sum = { sum.upstream };
    }
    from.work.clear();
    for (const auto& added : work) {
        // An upstream that is not listed here has no number; the next report names it again.
        const auto found = m_numbers.find(added.upstream);
        if (found == m_numbers.end() || !from.work.try_emplace(found->second, added).second)
            continue;
        auto& sum = m_totalWork[found->second];
        sum.inFlight += added.inFlight;
        sum.tokensAhead += added.tokensAhead;
        sum.kvCacheTokens += added.kvCacheTokens;
    }
}

void coordinator::expireSilentGateways(monotonic_time now)
{
    const milliseconds gatewayExpiry = timing().gatewayExpiry;
    for (auto& [name, state] : m_gateways) {
        if (now - state.reportedAt > gatewayExpiry && !state.work.empty())
            replaceWork(state, {});
    }
    std::erase_if(
        m_gateways, [&](const auto& item) { return now - item.second.reportedAt > membershipTimeout; });
}

bool coordinator::admitFullUpdate(std::size_t unwrittenBytes, monotonic_time now)
{
    const auto pause = fullUpdateIntervalPerUpstream * std::ssize(m_upstreams);
    if (unwrittenBytes > maxUnwrittenAnswerBytes
        || (m_fullUpdateAt != monotonic_time {} && now - m_fullUpdateAt < pause))
        return false;
    m_fullUpdateAt = now;
    return true;
}

bool coordinator::isStoreUnreachableFromAll(monotonic_time now) const
{
    const milliseconds maxReportAge = timing().maxReportAge;
    return !m_gateways.empty() && std::all_of(m_gateways.begin(), m_gateways.end(), [&](const auto& item) {
        return item.second.isStoreUnreachable && now - item.second.reportedAt <= maxReportAge;
    });
}

store_silence coordinator::storeSilence(bool isOwnStoreSilent, monotonic_time now) const
{
    return { isOwnStoreSilent, !m_gateways.empty() && recentGatewayCount(now) == m_gateways.size(),
        isStoreUnreachableFromAll(now), timing().maxReportAge };
}

double coordinator::grantableShare(monotonic_time now) const
{
    const double recent = recentGatewayCount(now);
    if (m_interimGatewayCount > 0)
        return std::min(1.0, recent / m_interimGatewayCount);
    const unsigned expected = now - m_termBegunAt < membershipTimeout ? m_expectedGateways : 0;
    const double total = std::max<double>(
        { 1.0, static_cast<double>(expected), static_cast<double>(knownGatewayCount(now)) });
    return 1 - fallbackRateFraction * std::max(0.0, total - recent) / total;
}

fleet_timing coordinator::timing() const
{
    return fleetTimingFor(static_cast<unsigned>(m_gateways.size()));
}

unsigned coordinator::recentGatewayCount(monotonic_time now) const
{
    const milliseconds maxReportAge = timing().maxReportAge;
    return static_cast<unsigned>(std::count_if(m_gateways.begin(), m_gateways.end(),
        [&](const auto& item) { return now - item.second.reportedAt <= maxReportAge; }));
}

std::uint32_t coordinator::knownGatewayCount(monotonic_time now) const
{
    std::uint32_t count = 0;
    for (const auto& [name, state] : m_gateways)
        count += now - state.reportedAt <= membershipTimeout ? 1 : 0;
    return count;
}

fleet_update coordinator::onReport(const fleet_report& report, monotonic_time now)
{
    expireSilentGateways(now);
    gateway_state& from = m_gateways[report.gateway];
    from.reportedAt = now;
    from.isStoreUnreachable = report.isStoreUnreachable;
    if (!report.isOnlyCredit)
        from.member = report.member;
    updateGrantableShare(now);
    for (const auto& item : report.demand) {
        m_demand.onRequests(item.model, item.requests, item.unplaced, now);
        if (!item.adapter.empty())
            m_demand.onRequests(formatModelRef(item.model, item.adapter), item.requests, item.unplaced, now);
    }
    fleet_update update;
    update.number = report.number;
    update.gatewayCount = knownGatewayCount(now);
    addTeamCredit(report, update, now);
    if (report.wantsFullUpdate)
        from.sentLimitRevision = 0;
    addSendCredit(report, update, now);
    update.upstreamLimits = m_upstreamLimits.changesSince(from.sentLimitRevision);
    from.sentLimitRevision = m_upstreamLimits.revision();
    if (report.wantsFullUpdate)
        from.sentQuarantineRevision = 0;
    addQuarantine(from, report.quarantine, update, now);
    if (report.wantsFullUpdate)
        from.sentEvacuationRevision = 0;
    if (std::exchange(from.sentEvacuationRevision, m_evacuationRevision) != m_evacuationRevision)
        update.evacuations = m_evacuated;
    if (report.isOnlyCredit)
        return update;
    if (report.wantsFullUpdate) {
        from.sentLoadedModelsStamp = 0;
        from.sentWork.clear();
        from.sentListRevision = 0;
        from.sentPaceRevision = 0;
    }
    replaceWork(from, report.work);
    updateTrackerHistories(now);
    addWorkChanges(from, update);
    addLoadedModelsChanges(from, update);
    addListChanges(from, update, now);
    addTimeFactors(from, report, update, now);
    return update;
}

void coordinator::addTimeFactors(
    gateway_state& to, const fleet_report& report, fleet_update& update, monotonic_time now)
{
    for (const auto& item : report.times) {
        const auto upstream = m_upstreams.find(item.upstream);
        if (upstream == m_upstreams.end() || upstream->second.isRemoved)
            continue;
        const upstream_entry& entry = upstream->second.entry;
        m_paces.onSamples(item.upstream, entry.service, item.sums, now);
        m_paces.onStart(item.upstream, entry.service, entry.slots, item.start, now);
    }
    m_paces.update(now);
    for (const auto& item : m_paces.changesSince(to.sentPaceRevision))
        update.timeFactors.push_back({ m_numbers.at(item.upstream), static_cast<float>(item.factor) });
    for (const auto& item : m_paces.limitChangesSince(to.sentPaceRevision))
        update.startLimits.push_back({ m_numbers.at(item.upstream), static_cast<std::uint16_t>(item.limit) });
    to.sentPaceRevision = m_paces.revision();
}

void coordinator::addTeamCredit(const fleet_report& report, fleet_update& update, monotonic_time now)
{
    for (const auto& request : report.credit) {
        m_buckets.returnTokens(request.team, request.returned, now);
        if (request.needed <= 0 && request.ahead <= 0)
            continue;
        const token_grant grant = m_buckets.grant(request.team, request.needed, request.ahead, now);
        update.credit.push_back(
            { request.team, grant.tokens, static_cast<std::uint32_t>(grant.retryAfter.count()) });
    }
}

void coordinator::addSendCredit(const fleet_report& report, fleet_update& update, monotonic_time now)
{
    for (const auto& request : report.sendCredit) {
        const std::string& upstream = request.limit.upstream;
        m_upstreamLimits.onReported(request.limit, request.knownFor, request.isNews, now);
        if (request.coldRequestsPerSecond > 0)
            m_upstreamLimits.onColdReported(
                upstream, request.coldRequestsPerSecond, request.coldRemaining, now);
        m_upstreamLimits.returnCredit(upstream, request.returned, now);
        if (request.needed <= 0 && request.ahead <= 0)
            continue;
        const token_grant grant = m_upstreamLimits.grant(upstream, request.needed, request.ahead, now);
        update.sendCredit.push_back(
            { upstream, grant.tokens, static_cast<std::uint32_t>(grant.retryAfter.count()) });
    }
}

void coordinator::addWorkChanges(gateway_state& to, fleet_update& update) const
{
    to.sentWork.resize(m_totalWork.size());
    auto ownWork = to.work.begin();
    for (std::size_t number = 0; number < m_totalWork.size(); ++number) {
        upstream_work others { {}, m_totalWork[number].inFlight, m_totalWork[number].tokensAhead,
            m_totalWork[number].kvCacheTokens };
        if (ownWork != to.work.end() && ownWork->first == number) {
            others.inFlight -= ownWork->second.inFlight;
            others.tokensAhead -= ownWork->second.tokensAhead;
            others.kvCacheTokens -= ownWork->second.kvCacheTokens;
            ++ownWork;
        }
        const peer_work value = makePeerWork(number, others.inFlight > 0 ? others : upstream_work {});
        if (isNegligibleChange(to.sentWork[number], value))
            continue;
        to.sentWork[number] = value;
        update.work.push_back(value);
    }
}

void coordinator::updateTrackerHistories(monotonic_time now)
{
    if (now - m_historiesUpdatedAt < historyUpdateInterval)
        return;
    m_historiesUpdatedAt = now;
    m_trackerHistories.resize(m_totalWork.size());
    // Both maps are sorted by the upstream's id.
    auto listed = m_upstreams.begin();
    for (const auto& [id, tracker] : m_trackers) {
        while (listed != m_upstreams.end() && listed->first < id)
            ++listed;
        if (listed == m_upstreams.end() || listed->first != id
            || (!tracker.isKnown() && tracker.loaded().empty()))
            continue;
        tracker_history& history = m_trackerHistories[listed->second.number];
        // The stored revision is one higher, so that revision 0 of a tracker is recorded too: the models that
        // it knows as loaded may differ from those of the list.
        const std::uint64_t revision = tracker.revision() + 1;
        if (std::exchange(history.revision, revision) != revision)
            history.loadedModels.setLoaded(tracker.loaded(), ++m_newestLoadedModelsStamp);
    }
}

void coordinator::addLoadedModelsChanges(gateway_state& to, fleet_update& update) const
{
    if (to.sentLoadedModelsStamp == m_newestLoadedModelsStamp)
        return;
    for (std::size_t number = 0; number < m_trackerHistories.size(); ++number) {
        const loaded_models_history& loadedModels = m_trackerHistories[number].loadedModels;
        if (loadedModels.newestStamp() <= to.sentLoadedModelsStamp)
            continue;
        update.loadedModels.push_back(
            { m_totalWork[number].upstream, loadedModels.updateSince(to.sentLoadedModelsStamp) });
    }
    to.sentLoadedModelsStamp = m_newestLoadedModelsStamp;
}

listed_upstream coordinator::describeListed(const versioned_upstream& upstream, monotonic_time now)
{
    const upstream_entry& entry = upstream.entry;
    return { entry.id, upstream.offset, upstream.isRemoved, entry.service, formatAddress(entry.endpoint),
        entry.zone, static_cast<std::uint32_t>(entry.slots), entry.isDraining, entry.startedAt,
        entry.acceptedOrders, {}, upstream.number, remainingColdTime(entry, now) };
}

std::optional<list_update> coordinator::takeColdBroadcast(monotonic_time now)
{
    list_update update;
    for (const auto& id : std::exchange(m_turnedCold, {})) {
        const auto found = m_upstreams.find(id);
        if (!m_isActive || found == m_upstreams.end() || found->second.isRemoved)
            continue;
        update.listed.push_back(describeListed(found->second, now));
        update.listed.back().loadedModels = loadedModelRefs(found->second.entry.models);
    }
    return update.listed.empty() ? std::nullopt : std::optional(std::move(update));
}

void coordinator::addListChanges(gateway_state& to, fleet_update& update, monotonic_time now) const
{
    if (to.sentListRevision == m_listRevision)
        return;
    update.isFullList = to.sentListRevision == 0;
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream.revision <= to.sentListRevision || (update.isFullList && upstream.isRemoved))
            continue;
        listed_upstream item = describeListed(upstream, now);
        // What the engine itself reported is newer, and is sent beside the list, in `loadedModels` of the
        // update.
        if (upstream.number >= m_trackerHistories.size()
            || m_trackerHistories[upstream.number].loadedModels.newestStamp() == 0)
            item.loadedModels = loadedModelRefs(upstream.entry.models);
        update.listed.push_back(std::move(item));
    }
    to.sentListRevision = m_listRevision;
}

std::vector<planned_model_order> coordinator::plan(monotonic_time now)
{
    std::vector<planned_model_order> orders;
    for (const auto& [service, config] : m_engines) {
        std::vector<engine_planning_input> engines;
        for (const auto& [id, tracker] : m_trackers) {
            const versioned_upstream& upstream = m_upstreams.at(id);
            if (upstream.entry.service != service)
                continue;
            engines.push_back({ &tracker, upstream.entry.zone,
                upstream.entry.isDraining || m_evacuated.zones.contains(upstream.entry.zone),
                static_cast<int>(m_totalWork[upstream.number].inFlight), upstream.entry.slots });
        }
        auto planned = m_planners.at(service).plan(engines, *config, m_demand, now);
        orders.insert(orders.end(), planned.begin(), planned.end());
    }
    return orders;
}

void coordinator::onModelOrdered(const std::string& service, monotonic_time now)
{
    const auto planner = m_planners.find(service);
    if (planner != m_planners.end())
        planner->second.onModelOrdered(now);
}

} // namespace sagesaddle
