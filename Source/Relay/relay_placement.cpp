#include "Relay/relay.h"

#include "Route/load_wait.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sagesaddle {

namespace {

// Interval at which requests that wait for a model are placed again. News of a loaded model place them at
// once.
constexpr milliseconds modelWaitRecheck { 100 };
// Part of an upstream's connections that requests may use; idle ones share the rest.
constexpr double requestConnectionShare = 0.5;
// Part of the route's objective for which a request may wait for a missing adapter or for credit; an adapter
// that is not loaded within 100 ms will not be loaded soon.
constexpr double maxWaitShare = 0.3;
// Shortest retry time, in objectives of the route: a caller that retries sooner meets the same load, and a
// request that could be served within one objective would not have been refused.
constexpr double minRetryObjectives = 2.5;
// Bounds of that time; callers wait for at most a third of the time that they have left.
constexpr milliseconds minRetryAfter { 300 };
constexpr milliseconds maxRetryAfter { 3000 };
// Time beyond a model's load time until it can be used: for the order to the engine and for unloading other
// models.
constexpr milliseconds loadReserve { 400 };
// Random part of the retry time of callers whose model is being loaded.
constexpr milliseconds loadSpread { 300 };
// Callers wait for a retry for at most a third of the time that they have left; a longer retry time is
// useless.
constexpr int retryWaitDivisor = 3;
// Random part of the callers' retry time, as a share of that time, so that they do not all return together.
constexpr double retrySpread = 0.5;
// Time constant of the rate of placed requests.
constexpr double placedRateSeconds = 2;
// A request is still sent if its forecast exceeds the objective by at most this factor.
constexpr double lateFactor = 1.2;
// Objective of routes that name none.
constexpr double standardObjectiveMs = 1000;

} // namespace

std::string relay::modelKey(const relay_exchange& request)
{
    return request.service() + "/" + request.request().model;
}

std::string relay::affinityKey(const relay_exchange& request) const
{
    const auto& parts = request.request().parts;
    // The last part belongs to the request alone; those before it are shared with other requests.
    if (parts.size() < 2)
        return {};
    return request.request().model + "/" + request.request().adapter + ":"
        + std::to_string(parts[parts.size() - 2].id);
}

std::vector<upstream_state_ptr> relay::candidatesFor(
    const relay_exchange& request, const std::set<std::string>& tried)
{
    std::vector<upstream_state_ptr> found;
    const auto service = m_byService.find(request.service());
    if (service == m_byService.end())
        return found;
    const monotonic_time now = monotonicNow();
    const std::string modelRef = request.request().modelRef();
    for (const auto& upstream : service->second) {
        if (upstream->isOpen(now) && upstream->hasLoaded(modelRef) && !tried.contains(upstream->entry.id))
            found.push_back(upstream);
    }
    // A silent upstream gets a request only if no other can take it, and only one at a time.
    const bool anyResponsive = std::any_of(
        found.begin(), found.end(), [](const upstream_state_ptr& upstream) { return !upstream->isSilent; });
    std::erase_if(found, [&](const upstream_state_ptr& upstream) {
        return upstream->isSilent && (anyResponsive || upstream->inFlight > 0);
    });
    return found;
}

std::vector<upstream_candidate> relay::describe(
    const relay_exchange& request, const std::vector<upstream_state_ptr>& upstreams)
{
    const monotonic_time now = monotonicNow();
    upstream_candidate common;
    const service_config* service = m_table->findService(request.service());
    if (service != nullptr && service->engine)
        common.memoryTotal = service->engine->kvCacheTokens;
    const model_stats& stats = statsOf(request);
    common.millisecondsPerToken = stats.millisecondsPerToken;
    common.meanRequestMilliseconds = stats.meanRequestMilliseconds;
    double sharedTokens = 0;
    const auto& parts = request.request().parts;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index)
        sharedTokens += parts[index].tokens;
    const auto cachedAt = m_affinity.find(affinityKey(request));
    std::vector<upstream_candidate> candidates(upstreams.size(), common);
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        const upstream_state& upstream = *upstreams[index];
        upstream_candidate& candidate = candidates[index];
        candidate.inFlight = upstream.inFlight + upstream.peerLoad.inFlight;
        candidate.slots = upstream.entry.slots;
        candidate.isInSameZone = upstream.entry.zone == m_options.zone;
        candidate.isSuspect = upstream.isSuspect(now);
        candidate.failureRatio = upstream.faults.value(now);
        candidate.tokensAhead = upstream.tokensAhead + upstream.peerLoad.tokensAhead;
        candidate.memoryUsed = upstream.kvCacheTokens + upstream.peerLoad.kvCacheTokens;
        candidate.timeFactor = learnsUpstreamSpeed() ? upstream.pace.factor(m_hasCoordinator, now) : 1;
        candidate.isHeldBack = isHeldBack(request, upstream);
        if (cachedAt != m_affinity.end() && cachedAt->second == upstream.entry.id)
            candidate.cachedTokens = sharedTokens;
    }
    return candidates;
}

relay_choice relay::decideDispatch(const relay_exchange& request, const std::set<std::string>& tried)
{
    auto upstreams = candidatesFor(request, tried);
    if (upstreams.empty()) {
        if (const auto refusal = refuseDuringBackoff(request))
            return *refusal;
        if (const auto refusal = refuseEvacuated(request))
            return *refusal;
        return decideWithoutCandidate(request, m_byService.contains(request.service()));
    }
    std::erase_if(
        upstreams, [this](const upstream_state_ptr& upstream) { return !hasFreeConnection(*upstream); });
    if (upstreams.empty())
        return refuse_decision { refusal_reason::Overloaded, declinedRetryAfter(request) };
    if (isCatchingUp(request.service()))
        return wait_decision {};
    if (const auto warm = chooseWarm(request, upstreams))
        return *warm;
    const auto choice = chooseUpstreamOf(request, upstreams);
    const auto* best = std::get_if<chosen_upstream>(&choice);
    if (best != nullptr && trySpendSend(upstreams[best->index]->entry.id))
        return sendTo(upstreams, *best);
    std::vector<upstream_state_ptr> withCredit;
    std::vector<upstream_state_ptr> withoutCredit;
    const monotonic_time now = bootTimeNow();
    for (const auto& upstream : upstreams)
        (m_sendCredit.hasCredit(upstream->entry.id, now) ? withCredit : withoutCredit).push_back(upstream);
    if (best != nullptr && !withCredit.empty()) {
        // Credit for the best upstream may serve a later request.
        m_sendCredit.request(upstreams[best->index]->entry.id, false);
        const auto second = chooseUpstreamOf(request, withCredit);
        const auto* pick = std::get_if<chosen_upstream>(&second);
        if (pick != nullptr && trySpendSend(withCredit[pick->index]->entry.id))
            return sendTo(withCredit, *pick);
    }
    if (best != nullptr)
        return waitForSendCredit(request, withoutCredit);
    if (const auto* full = std::get_if<no_upstream_in_time>(&choice)) {
        logNoRoom(request, *full, describe(request, upstreams));
        return refuseOverloaded(request, *full);
    }
    return decideWithoutCandidate(request, true);
}

relay_choice relay::waitForSendCredit(
    const relay_exchange& request, const std::vector<upstream_state_ptr>& withoutCredit)
{
    const monotonic_time now = bootTimeNow();
    std::vector<upstream_state_ptr> grantable;
    std::optional<milliseconds> refusedFor;
    for (const auto& upstream : withoutCredit) {
        const milliseconds remaining = m_sendCredit.refusedFor(upstream->entry.id, now);
        if (remaining > milliseconds(0))
            refusedFor = std::min(refusedFor.value_or(remaining), remaining);
        else
            grantable.push_back(upstream);
    }
    const double waited = secondsBetween(request.arrivedAt(), monotonicNow()) * 1000;
    const auto objective = static_cast<double>(request.route().objective.count());
    const auto choice = chooseUpstreamOf(request, grantable);
    const auto* best = std::get_if<chosen_upstream>(&choice);
    if (best != nullptr && waited < objective * maxWaitShare) {
        m_sendCredit.request(grantable[best->index]->entry.id, true);
        if (m_hooks.requestSendCredit())
            return wait_decision {};
    }
    return refuse_decision { refusal_reason::Overloaded,
        refusedFor.value_or(milliseconds(0)) + declinedRetryAfter(request) };
}

upstream_choice relay::chooseUpstreamOf(
    const relay_exchange& request, const std::vector<upstream_state_ptr>& upstreams)
{
    request_demand demand;
    demand.promptTokens = request.request().promptTokens.value_or(0);
    demand.kvCacheTokens = demand.promptTokens + request.request().maxAnswerTokens / 2.0;
    const double objective = request.route().objective.count() > 0
        ? static_cast<double>(request.route().objective.count())
        : standardObjectiveMs;
    const double elapsed = secondsBetween(request.arrivedAt(), monotonicNow()) * 1000;
    demand.objectiveMilliseconds = std::max(objective - elapsed, objective / 4);
    if (learnsUpstreamSpeed())
        demand.gapObjectiveMilliseconds = static_cast<double>(request.route().gapObjective.count());
    return chooseAmong(request, describe(request, upstreams), demand);
}

double relay::model_stats::placedRate(monotonic_time now) const
{
    return placedPerSecond * std::exp(-secondsBetween(placedAt, now) / placedRateSeconds);
}

void relay::model_stats::onPlaced(monotonic_time now)
{
    placedPerSecond = placedRate(now) + 1 / placedRateSeconds;
    placedAt = now;
}

double relay::placedUnseen(const relay_exchange& request, monotonic_time now)
{
    const model_stats& stats = statsOf(request);
    const double rate = stats.placedRate(now);
    // The coordinator's answers to full reports carry the load: one in each report interval, or sooner if a
    // request needs credit.
    const fleet_timing timing = sagesaddle::fleetTimingFor(m_gatewayCount);
    const double meanLoadAge
        = std::chrono::duration<double>(timing.reportInterval + timing.minReportInterval).count() / 2;
    return rate * (m_gatewayCount - 1) * meanLoadAge;
}

upstream_choice relay::chooseAmong(const relay_exchange& request,
    const std::vector<upstream_candidate>& candidates, const request_demand& demand)
{
    auto indices = sampleUpstreams(
        candidates.size(), placedUnseen(request, monotonicNow()), [this] { return randomFraction(); });
    if (indices.size() < candidates.size()) {
        // The upstream that has cached the prompt's shared parts is always among the candidates.
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (candidates[index].cachedTokens > 0
                && std::find(indices.begin(), indices.end(), index) == indices.end())
                indices.push_back(index);
        }
        std::vector<upstream_candidate> sample;
        sample.reserve(indices.size());
        for (const std::size_t index : indices)
            sample.push_back(candidates[index]);
        const auto choice = chooseUpstream(sample, demand, lateFactor);
        const auto* pick = std::get_if<chosen_upstream>(&choice);
        if (pick != nullptr && !sample[pick->index].isHeldBack)
            return chosen_upstream { indices[pick->index], pick->firstEventMilliseconds, pick->cachedTokens };
    }
    return chooseUpstream(candidates, demand, lateFactor);
}

std::optional<relay_choice> relay::refuseDuringBackoff(const relay_exchange& request)
{
    const auto service = m_byService.find(request.service());
    if (service == m_byService.end())
        return std::nullopt;
    const monotonic_time now = monotonicNow();
    const std::string modelRef = request.request().modelRef();
    std::optional<monotonic_time> earliestEnd;
    for (const auto& upstream : service->second) {
        if (upstream->isEvacuated || upstream->entry.isDraining || upstream->isLeaving
            || now >= upstream->requestedBackoffUntil || !upstream->hasLoaded(modelRef))
            continue;
        earliestEnd = std::min(
            earliestEnd.value_or(upstream->requestedBackoffUntil), upstream->requestedBackoffUntil);
    }
    if (!earliestEnd)
        return std::nullopt;
    const auto backoff = std::chrono::duration_cast<milliseconds>(*earliestEnd - now);
    return refuse_decision { refusal_reason::Overloaded, backoff + declinedRetryAfter(request) };
}

relay_choice relay::decideWithoutCandidate(const relay_exchange& request, bool hasUpstreams)
{
    const auto& wanted = request.request();
    if (!hasUpstreams || wanted.model.empty())
        return refuse_decision { refusal_reason::NoUpstream, declinedRetryAfter(request) };
    m_hooks.onModelMissing(request.service(), wanted.model, wanted.adapter);
    const bool hasModel = std::any_of(m_byService[request.service()].begin(),
        m_byService[request.service()].end(), [&](const upstream_state_ptr& upstream) {
            return upstream->isOpen(monotonicNow()) && upstream->hasLoaded(wanted.model);
        });
    const double waited = secondsBetween(request.arrivedAt(), monotonicNow()) * 1000;
    const double objective
        = static_cast<double>(std::max<std::int64_t>(request.route().objective.count(), 1));
    if (hasModel && !wanted.adapter.empty() && waited < objective * maxWaitShare)
        return wait_decision {};
    const auto loadTime = modelLoadTime(request);
    if (!hasModel && loadTime
        && mayWaitForLoad({ *loadTime, request.timeLeft(), milliseconds(static_cast<std::int64_t>(waited)),
            m_waiting.size() }))
        return wait_decision { modelWaitRecheck };
    return refuse_decision { refusal_reason::ModelAbsent,
        hasModel ? declinedRetryAfter(request) : modelLoadRetryAfter(request) };
}

std::optional<milliseconds> relay::modelLoadTime(const relay_exchange& request) const
{
    const service_config* service = m_table->findService(request.service());
    const model_config* model
        = service != nullptr && service->engine ? service->engine->find(request.request().model) : nullptr;
    if (model == nullptr)
        return std::nullopt;
    return model->loadTime + loadReserve;
}

milliseconds relay::modelLoadRetryAfter(const relay_exchange& request)
{
    const milliseconds shortest = declinedRetryAfter(request);
    const auto loadTime = modelLoadTime(request);
    if (!loadTime)
        return shortest;
    const milliseconds spread(static_cast<std::int64_t>(randomFraction() * loadSpread.count()));
    const milliseconds longest = request.timeLeft() / retryWaitDivisor;
    return std::max(shortest, std::min(*loadTime + spread, longest));
}

void relay::logNoRoom(const relay_exchange& request, const no_upstream_in_time& full,
    const std::vector<upstream_candidate>& candidates)
{
    int inFlight = 0;
    double ahead = 0;
    for (const auto& candidate : candidates) {
        inFlight += candidate.inFlight;
        ahead += candidate.tokensAhead;
    }
    m_telemetry.lines.write(log_level::Warning, "no_room",
        { { "id", request.request().id }, { "model", request.request().model },
            { "candidates", candidates.size() }, { "forecast_ms", full.firstEventMilliseconds },
            { "objective_ms", request.route().objective.count() }, { "in_flight", inFlight },
            { "tokens_ahead", ahead }, { "ms_per_token", candidates.front().millisecondsPerToken } },
        monotonicNow());
}

relay_choice relay::refuseOverloaded(const relay_exchange& request, const no_upstream_in_time& full)
{
    const auto excess = milliseconds(static_cast<std::int64_t>(
        full.firstEventMilliseconds - static_cast<double>(request.route().objective.count())));
    return refuse_decision { refusal_reason::Overloaded,
        std::max(excess, retryScheduleOf(request).onRefused(1, monotonicNow())) };
}

milliseconds relay::minRetryAfterFor(const relay_exchange& request)
{
    const double retryMs = minRetryObjectives * static_cast<double>(request.route().objective.count());
    return std::clamp(milliseconds(static_cast<std::int64_t>(retryMs)), minRetryAfter, maxRetryAfter);
}

retry_after_schedule& relay::retryScheduleOf(const relay_exchange& request)
{
    return m_retrySchedules.try_emplace(modelKey(request), minRetryAfterFor(request)).first->second;
}

milliseconds relay::declinedRetryAfter(const relay_exchange& request)
{
    const milliseconds shortest = minRetryAfterFor(request);
    const double spread = randomFraction() * retrySpread * static_cast<double>(shortest.count());
    return shortest + milliseconds(static_cast<std::int64_t>(spread));
}

void relay::addWaiting(const relay_exchange_ptr& request, milliseconds recheck)
{
    if (std::find(m_waiting.begin(), m_waiting.end(), request) == m_waiting.end())
        m_waiting.push_back(request);
    const monotonic_time due = monotonicNow() + recheck;
    if (m_placeTimer.isRunning() && m_placeDueAt <= due)
        return;
    m_placeDueAt = due;
    m_placeTimer.start(recheck);
}

void relay::removeWaiting(const relay_exchange& request)
{
    m_waiting.remove_if([&](const relay_exchange_ptr& waiting) { return waiting.get() == &request; });
}

void relay::placeWaiting()
{
    if (m_waiting.empty())
        return;
    auto waiting = std::exchange(m_waiting, {});
    waiting.sort([](const relay_exchange_ptr& left, const relay_exchange_ptr& right) {
        return std::pair(left->urgency(), left->arrivedAt())
            < std::pair(right->urgency(), right->arrivedAt());
    });
    for (const auto& request : waiting)
        request->place();
}

void relay::schedulePlacement()
{
    if (m_waiting.empty())
        return;
    m_placeDueAt = monotonicNow();
    m_placeTimer.start({});
}

int relay::maxConnectionsOf(const upstream_state& upstream) const
{
    const service_config* service = m_table ? m_table->findService(upstream.entry.service) : nullptr;
    return service == nullptr ? 0 : service->maxConnections;
}

bool relay::hasFreeConnection(const upstream_state& upstream) const
{
    const int maximum = maxConnectionsOf(upstream);
    return maximum == 0
        || upstream.inFlight + upstream.peerLoad.inFlight < std::max(1.0, maximum * requestConnectionShare);
}

std::size_t relay::maxIdleConnections(const upstream_state& upstream) const
{
    const int maximum = maxConnectionsOf(upstream);
    if (maximum == 0)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(maximum * (1 - requestConnectionShare) / m_gatewayCount);
}

} // namespace sagesaddle
