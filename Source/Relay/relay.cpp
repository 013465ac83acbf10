#include "Relay/relay.h"

#include "Base/overloaded.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sagesaddle {

namespace {

// Idle connections that are tried when one must be closed; those with unread bytes are not closed.
constexpr std::size_t maxIdleCallersTried = 8;
// Time without a byte after which an upstream of a plain service that has requests counts as silent; calls
// usually take less.
constexpr milliseconds serviceSilence { 450 };
constexpr milliseconds silenceCheckInterval { 100 };
// Interval at which a silent upstream is probed.
constexpr milliseconds probeInterval { 500 };
// Time for which an upstream is avoided after a failure; doubles with each further failure without a byte of
// an answer in between.
constexpr milliseconds firstSuspicion { 250 };
// The longest such time is firstSuspicion * 2^(maxFailures - 1).
constexpr int maxFailures = 4;
// Interval at which waiting requests are placed again; well under the time that loading an adapter takes.
constexpr milliseconds placeInterval { 10 };
// Lifetime of credit for sending to an upstream with a request limit.
constexpr milliseconds sendCreditLifetime { 500 };
// Part of an upstream's connections that requests may use; idle ones share the rest.
constexpr double requestConnectionShare = 0.5;
// Part of the route's objective for which a request may wait for a missing adapter or for credit; an adapter
// that is not loaded within 100 ms will not be loaded soon.
constexpr double maxWaitShare = 0.3;
// Retry time for callers if neither the route nor the load determines one.
constexpr milliseconds standardRetryAfter { 700 };
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
// Initial mean time of a call to a plain service, until the first answers are observed.
constexpr double initialCallMs = 50;
// Bounds for observed times of calls.
constexpr double minCallMs = 1;
constexpr double maxCallMs = 10000;
// Weight of a new observation in a model's statistics.
constexpr double observationWeight = 0.1;
// Bounds for observed reading times of a prompt token.
constexpr double minMsPerToken = 0.002;
constexpr double maxMsPerToken = 0.2;
// Time constant of the rate of placed requests.
constexpr double placedRateSeconds = 2;
// Sets of prompt parts whose last upstream is remembered.
constexpr std::size_t maxAffinities = 4096;
// A request is still sent if its forecast exceeds the objective by at most this factor.
constexpr double lateFactor = 1.2;
// Number of gateways that are assumed to share the fleet's budgets until the coordinator reports it.
constexpr unsigned assumedGateways = 10;
// Objective of routes that name none.
constexpr double standardObjectiveMs = 1000;

} // namespace

relay::relay(event_loop& loop, relay_options options, relay_telemetry& telemetry, relay_hooks hooks)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_telemetry(telemetry)
    , m_hooks(std::move(hooks))
    , m_configFreshness(m_options.maxConfigAge)
    , m_sendCredit(sendCreditLifetime)
    , m_gatewayCount(assumedGateways)
    , m_readTimer(loop,
          [this] {
              const auto connections = std::exchange(m_toRead, {});
              m_closedCallers.clear();
              for (const auto& connection : connections)
                  connection->readPending();
          })
    , m_placeTimer(loop, [this] { placeWaiting(); })
    , m_silenceTimer(loop,
          [this] {
              m_silenceTimer.start(silenceCheckInterval);
              checkSilence();
          })
    , m_crashWatch(loop, telemetry,
          [this](const upstream_crash& crash) {
              m_quarantine.onCrash(crash);
              if (m_hooks.reportCrash)
                  m_hooks.reportCrash();
          })
    , m_random(std::random_device {}())
{
    m_silenceTimer.start(silenceCheckInterval);
}

relay::~relay() = default;

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

const caller_limits& relay::limits() const
{
    static const caller_limits standard;
    return m_table ? m_table->config().limits : standard;
}

void relay::setOptions(const relay_options& options)
{
    m_configFreshness.setMaxConfigAge(options.maxConfigAge);
    const bool isSameBudget = m_options.retriesPerRequest == options.retriesPerRequest
        && m_options.retrySlack == options.retrySlack;
    m_options = options;
    // Budgets start anew with the new bounds.
    if (!isSameBudget)
        m_retryBudgets.clear();
}

void relay::onConfig(fleet_config_ptr config)
{
    if (m_table && config->version <= m_table->config().version)
        return;
    m_table = std::make_shared<const route_table>(std::move(config));
    const monotonic_time now = monotonicNow();
    m_telemetry.lines.write(log_level::Info, "config_in_force",
        { { "version", m_table->config().version }, { "routes", m_table->config().routes.size() },
            { "teams", m_table->config().teams.size() } },
        now);
    for (const auto& team : m_table->config().teams)
        m_telemetry.lines.write(log_level::Info, "limit_in_force",
            { { "team", team.name }, { "rate_per_s", team.ratePerSecond }, { "burst", team.burst },
                { "keys", team.apiKeys.size() } },
            now);
    placeWaiting();
}

void relay::onUpstreams(const std::map<std::string, upstream_entry>& entries)
{
    m_knowsUpstreams = true;
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const auto listed = entries.find(entry->first);
        if (listed != entries.end() && listed->second.isSameProcess(entry->second->entry)) {
            ++entry;
            continue;
        }
        entry->second->isGone = true;
        m_telemetry.lines.write(
            log_level::Info, "upstream_gone", { { "upstream", entry->first } }, monotonicNow());
        entry = m_upstreams.erase(entry);
    }
    m_byService.clear();
    std::map<std::string, std::int64_t> startTimes;
    for (const auto& [id, entry] : entries) {
        auto& state = m_upstreams[id];
        if (!state) {
            state = std::make_shared<upstream_state>(m_loop, entry);
            const auto left = m_leavingStarts.find(id);
            state->isLeaving = left != m_leavingStarts.end() && left->second == entry.startedAt;
            if (left != m_leavingStarts.end() && !state->isLeaving)
                m_leavingStarts.erase(left);
            m_telemetry.lines.write(log_level::Info, "upstream_listed",
                { { "upstream", id }, { "service", entry.service },
                    { "address", formatAddress(entry.endpoint) } },
                monotonicNow());
        }
        if (state->entry.isDraining != entry.isDraining)
            m_telemetry.lines.write(
                log_level::Info, "upstream_draining", { { "upstream", id } }, monotonicNow());
        if (!state->hasCoordinatorUpdate
            && (state->loadedModels.empty() || state->entry.models != entry.models)) {
            const auto names = loadedModelRefs(entry.models);
            state->loadedModels = { names.begin(), names.end() };
        }
        state->entry = entry;
        m_byService[entry.service].push_back(state);
        startTimes.emplace(id, entry.startedAt);
    }
    m_sendCredit.onUpstreams(startTimes, bootTimeNow());
    placeWaiting();
}

bool relay::onLoadedModels(const std::string& id, const loaded_models_update& update)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return true;
    upstream_state& upstream = *found->second;
    if (update.isDelta && !upstream.hasCoordinatorUpdate)
        return false;
    if (!update.isDelta)
        upstream.loadedModels.clear();
    upstream.loadedModels.insert(update.loaded.begin(), update.loaded.end());
    for (const auto& name : update.unloaded)
        upstream.loadedModels.erase(name);
    upstream.hasCoordinatorUpdate = true;
    schedulePlacement();
    return true;
}

void relay::onCoordinatorLost()
{
    for (const auto& [id, upstream] : m_upstreams) {
        upstream->peerLoad = {};
        upstream->hasCoordinatorUpdate = false;
    }
}

void relay::onGatewayCount(unsigned count)
{
    if (count == 0 || count == m_gatewayCount)
        return;
    m_gatewayCount = count;
    // Budgets start anew with the new part of the fleet's slack.
    m_retryBudgets.clear();
}

void relay::onPeerLoad(const std::string& id, const peer_load& load)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end())
        found->second->peerLoad = load;
}

void relay::onConfigConfirmed(monotonic_time confirmedAt)
{
    m_configFreshness.onConfigConfirmed(confirmedAt);
}

bool relay::mayAcceptApiKeys() const
{
    return m_configFreshness.mayAcceptApiKeys(bootTimeNow());
}

milliseconds relay::fallbackRetryAfter() const
{
    return standardRetryAfter;
}

bool relay::isReady() const
{
    if (isDraining() || !m_table || !m_knowsUpstreams)
        return false;
    return m_table->config().teams.empty() || (m_knowsLimits && mayAcceptApiKeys());
}

double relay::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

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
        return decideWithoutCandidate(request, m_byService.contains(request.service()));
    }
    std::erase_if(
        upstreams, [this](const upstream_state_ptr& upstream) { return !hasFreeConnection(*upstream); });
    if (upstreams.empty())
        return refuse_decision { refusal_reason::Overloaded, declinedRetryAfter(request) };
    const auto choice = chooseUpstreamOf(request, upstreams);
    const auto* best = std::get_if<chosen_upstream>(&choice);
    if (best != nullptr && trySpendSend(upstreams[best->index]->entry.id))
        return send_decision { upstreams[best->index], best->firstEventMilliseconds };
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
            return send_decision { withCredit[pick->index], pick->firstEventMilliseconds };
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
    return chooseAmong(request, describe(request, upstreams), demand);
}

double relay::model_stats::placedRate(monotonic_time now) const
{
    return placedPerSecond * std::exp(-secondsBetween(placedAt, now) / placedRateSeconds);
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
        if (const auto* pick = std::get_if<chosen_upstream>(&choice))
            return chosen_upstream { indices[pick->index], pick->firstEventMilliseconds };
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
        if (upstream->entry.isDraining || upstream->isLeaving || now >= upstream->requestedBackoffUntil
            || !upstream->hasLoaded(modelRef))
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
    return refuse_decision { refusal_reason::ModelAbsent,
        hasModel ? declinedRetryAfter(request) : modelLoadRetryAfter(request) };
}

milliseconds relay::modelLoadRetryAfter(const relay_exchange& request)
{
    const milliseconds shortest = declinedRetryAfter(request);
    const service_config* service = m_table->findService(request.service());
    const model_config* model
        = service != nullptr && service->engine ? service->engine->find(request.request().model) : nullptr;
    if (model == nullptr)
        return shortest;
    const milliseconds spread(static_cast<std::int64_t>(randomFraction() * loadSpread.count()));
    const milliseconds longest = request.timeLeft() / retryWaitDivisor;
    return std::max(shortest, std::min(model->loadTime + loadReserve + spread, longest));
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

void relay::requestCredit(const relay_exchange_ptr& request)
{
    m_hooks.requestCredit(request);
}

void relay::refund(const std::string& team, double tokens)
{
    m_hooks.refund(team, tokens);
}

void relay::addWaiting(const relay_exchange_ptr& request)
{
    if (std::find(m_waiting.begin(), m_waiting.end(), request) == m_waiting.end())
        m_waiting.push_back(request);
    if (!m_placeTimer.isRunning())
        m_placeTimer.start(placeInterval);
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
    if (!m_waiting.empty() && !m_placeTimer.isRunning())
        m_placeTimer.start({});
}

bool relay::tryRetry(const std::string& service)
{
    const auto found
        = m_retryBudgets
              .try_emplace(service, m_options.retriesPerRequest, m_options.retrySlack / m_gatewayCount)
              .first;
    const bool isAllowed = found->second.tryRetry();
    m_telemetry.metrics.add(
        "sagesaddle_retries", "Second sends by service", { { "allowed", isAllowed ? "yes" : "no" } });
    return isAllowed;
}

void relay::recordDemand(const relay_exchange& request)
{
    m_retryBudgets
        .try_emplace(request.service(), m_options.retriesPerRequest, m_options.retrySlack / m_gatewayCount)
        .first->second.onRequest();
    if (m_hooks.recordDemand)
        m_hooks.recordDemand(request);
}

void relay::onMisdirected(const upstream_state_ptr& upstream)
{
    m_telemetry.lines.write(log_level::Warning, "misdirected",
        { { "upstream", upstream->entry.id }, { "address", formatAddress(upstream->entry.endpoint) } },
        monotonicNow());
    upstream->suspectUntil = monotonicNow() + firstSuspicion;
}

void relay::applyAnswerMetadata(const upstream_state_ptr& upstream, const upstream_answer_metadata& metadata)
{
    const monotonic_time now = monotonicNow();
    if (metadata.isLeaving && !upstream->isLeaving) {
        upstream->isLeaving = true;
        m_leavingStarts[upstream->entry.id] = upstream->entry.startedAt;
        m_telemetry.lines.write(
            log_level::Info, "upstream_leaving", { { "upstream", upstream->entry.id } }, now);
    }
    if (metadata.requestedBackoff) {
        upstream->requestedBackoffUntil
            = std::max(upstream->requestedBackoffUntil, now + *metadata.requestedBackoff);
        m_telemetry.lines.write(log_level::Info, "upstream_rests",
            { { "upstream", upstream->entry.id }, { "ms", metadata.requestedBackoff->count() } }, now);
    }
}

void relay::applyRequestLimit(
    const std::string& upstream, const upstream_answer_metadata& metadata, monotonic_time sentAt)
{
    if (metadata.isRequestLimitInvalid) {
        m_telemetry.lines.write(
            log_level::Warning, "upstream_limit_unreadable", { { "upstream", upstream } }, monotonicNow());
        return;
    }
    const upstream_limit limit { upstream, metadata.requestLimit };
    if (!m_sendCredit.onAnswer(limit, sentAt, bootTimeNow()))
        return;
    logRequestLimit(limit, "answer");
    // The coordinator tells the other gateways.
    m_hooks.requestSendCredit();
    schedulePlacement();
}

void relay::onUpstreamLimitTold(const upstream_limit& limit)
{
    if (m_sendCredit.onTold(limit, bootTimeNow()))
        logRequestLimit(limit, "coordinator");
}

void relay::logRequestLimit(const upstream_limit& limit, std::string_view source)
{
    m_telemetry.lines.write(log_level::Info, "upstream_limit",
        { { "upstream", limit.upstream }, { "limited", limit.requestsPerSecond.has_value() },
            { "per_s", limit.requestsPerSecond.value_or(0) }, { "source", source } },
        monotonicNow());
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

bool relay::trySpendSend(const std::string& upstream)
{
    return m_sendCredit.trySpend(upstream, bootTimeNow());
}

void relay::logBadRequest(const char* error)
{
    m_telemetry.lines.write(log_level::Warning, "bad_request", { { "error", error } }, monotonicNow());
}

void relay::recordSend(
    const relay_exchange& request, upstream_state& upstream, double forecastMilliseconds, int earlierSends)
{
    const auto key = affinityKey(request);
    if (!key.empty()) {
        if (m_affinity.size() >= maxAffinities)
            m_affinity.erase(m_affinity.begin());
        m_affinity[key] = upstream.entry.id;
    }
    const monotonic_time now = monotonicNow();
    retryScheduleOf(request).onAdmitted(1, now);
    model_stats& stats = statsOf(request);
    stats.placedPerSecond = stats.placedRate(now) + 1 / placedRateSeconds;
    stats.placedAt = now;
    if (const auto limit = m_sendCredit.limitOf(upstream.entry.id)) {
        m_telemetry.metrics.add(
            "sagesaddle_limited_sends", "Requests sent to upstreams that state a request limit");
        m_telemetry.lines.write(log_level::Info, "limited_send",
            { { "id", request.request().id }, { "upstream", upstream.entry.id }, { "per_s", *limit },
                { "earlier_sends", earlierSends } },
            now);
    }
    m_telemetry.lines.write(log_level::Debug, "sent",
        { { "id", request.request().id }, { "upstream", upstream.entry.id },
            { "forecast_ms", forecastMilliseconds },
            { "in_flight", upstream.inFlight + upstream.peerLoad.inFlight },
            { "earlier_sends", earlierSends } },
        now);
}

void relay::recordFirstByte(
    const relay_exchange& request, const upstream_state& upstream, double elapsed, double tokensAhead)
{
    m_telemetry.metrics.observeSeconds(
        "sagesaddle_first_byte_seconds", "Time from send to first byte", elapsed);
    const double prompt = request.request().promptTokens.value_or(0);
    if (prompt <= 0 || !request.route().isStream())
        return;
    model_stats& stats = statsOf(request);
    if (upstream.inFlight + upstream.peerLoad.inFlight <= upstream.entry.slots) {
        const double observed
            = std::clamp(elapsed * 1000 / (prompt + tokensAhead), minMsPerToken, maxMsPerToken);
        stats.millisecondsPerToken += observationWeight * (observed - stats.millisecondsPerToken);
    }
}

relay::model_stats& relay::statsOf(const relay_exchange& request)
{
    const auto [found, isNew] = m_stats.try_emplace(modelKey(request));
    if (isNew && request.request().model.empty())
        found->second.meanRequestMilliseconds = initialCallMs;
    return found->second;
}

void relay::recordAnswer(const relay_exchange& request, upstream_state& upstream, bool isSound)
{
    const monotonic_time now = monotonicNow();
    upstream.faults.onOutcome(!isSound, now);
    if (isSound)
        recordDuration(request);
    // Streams keep the initial value: with a learned one, a full engine refused more of them.
    if (!isSound || !request.request().model.empty())
        return;
    const double observed
        = std::clamp(secondsBetween(request.transmittedAt(), now) * 1000, minCallMs, maxCallMs);
    model_stats& stats = statsOf(request);
    stats.meanRequestMilliseconds += observationWeight * (observed - stats.meanRequestMilliseconds);
}

void relay::logMismatchedAnswer(const relay_exchange& request, const upstream_state& upstream)
{
    m_telemetry.lines.write(log_level::Warning, "foreign_answer",
        { { "id", request.request().id }, { "upstream", upstream.entry.id } }, monotonicNow());
}

void relay::recordFailure(upstream_state& upstream, bool beforeFirstByte)
{
    const monotonic_time now = monotonicNow();
    upstream.faults.onOutcome(true, now);
    upstream.failures = std::min(upstream.failures + 1, maxFailures);
    upstream.suspectUntil
        = std::max(upstream.suspectUntil, now + firstSuspicion * (1 << (upstream.failures - 1)));
    m_telemetry.lines.write(log_level::Warning, "upstream_failed",
        { { "upstream", upstream.entry.id }, { "before_first_byte", beforeFirstByte },
            { "failures", upstream.failures } },
        now);
}

void relay::recordActivity(upstream_state& upstream)
{
    upstream.lastActivityAt = monotonicNow();
    m_crashWatch.onActivity(upstream.entry.id);
    if (!upstream.isSilent)
        return;
    upstream.isSilent = false;
    m_telemetry.lines.write(
        log_level::Info, "upstream_heard", { { "upstream", upstream.entry.id } }, upstream.lastActivityAt);
}

void relay::probe(const upstream_state_ptr& upstream, monotonic_time now)
{
    if (now - upstream->probedAt < probeInterval)
        return;
    if (upstream->probe)
        upstream->probe->close();
    upstream->probedAt = now;
    upstream->probe = upstream->pool.acquire(true);
    const std::weak_ptr<upstream_state> probed = upstream;
    upstream->probe->attach({ [this, probed] {
                                 if (const auto alive = probed.lock()) {
                                     const auto connection = std::exchange(alive->probe, nullptr);
                                     recordActivity(*alive);
                                     m_crashWatch.onConnectionAccepted(alive->entry.id);
                                     alive->pool.release(connection, maxIdleConnections(*alive));
                                 }
                             },
        {}, {}, {}, {} });
}

void relay::checkSilence()
{
    const monotonic_time now = monotonicNow();
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream->isSilent)
            probe(upstream, now);
        // An engine that reads long prompts sends nothing for a while either; if it is gone, its list entry
        // expires.
        const service_config* service = m_table ? m_table->findService(upstream->entry.service) : nullptr;
        if (upstream->requests.empty() || (service != nullptr && service->engine))
            continue;
        monotonic_time oldest = now;
        for (const auto* request : upstream->requests)
            oldest = std::min(oldest, request->dispatchedAt());
        if (now - std::max(oldest, upstream->lastActivityAt) < serviceSilence)
            continue;
        if (!upstream->isSilent) {
            m_telemetry.lines.write(log_level::Warning, "upstream_silent",
                { { "upstream", id }, { "requests", upstream->requests.size() },
                    { "seconds", secondsBetween(std::max(oldest, upstream->lastActivityAt), now) } },
                now);
            upstream->probedAt = now;
            upstream->isSilent = true;
        }
        // A request that moves to another upstream removes itself from the set.
        std::vector<relay_exchange_ptr> requests;
        requests.reserve(upstream->requests.size());
        for (auto* request : upstream->requests)
            requests.push_back(request->shared_from_this());
        for (const auto& request : requests)
            request->onUpstreamSilent();
    }
}

void relay::recordRefusal(const relay_exchange& request, refusal_reason reason)
{
    m_telemetry.metrics.add("sagesaddle_refusals", "Requests that the system ended itself",
        { { "reason", std::string(refusalOf(reason).name) }, { "team", request.team() } });
}

void relay::recordEnd(const relay_exchange& request, std::string_view outcome, int status, int sends,
    const upstream_state* upstream)
{
    --m_running;
    const bool isFailure = outcome != "answered" || status >= 500;
    const double elapsed = secondsBetween(request.arrivedAt(), monotonicNow());
    m_telemetry.metrics.observeSeconds("sagesaddle_request_seconds", "Time from arrival to the end", elapsed);
    // Time that this gateway added before the upstream could begin: rate limits, waiting and the choice.
    const double waited = sends > 0 ? secondsBetween(request.arrivedAt(), request.transmittedAt()) : elapsed;
    m_telemetry.metrics.observeSeconds("sagesaddle_dispatch_seconds",
        "Time from arrival until the request left for an upstream, or ended here", waited);
    m_telemetry.lines.write(isFailure ? log_level::Warning : log_level::Info,
        isFailure ? "ended" : "answered",
        { { "id", request.request().id }, { "outcome", outcome }, { "status", status },
            { "service", request.service() }, { "team", request.team() },
            { "model", request.request().model }, { "adapter", request.request().adapter },
            { "upstream", upstream == nullptr ? std::string() : upstream->entry.id }, { "sends", sends },
            { "waited_ms", waited * 1000 },
            { "first_ms", std::chrono::duration<double, std::milli>(request.timeToFirstByte()).count() },
            { "gap_ms", std::chrono::duration<double, std::milli>(request.longestGap()).count() },
            { "seconds", elapsed },
            { "config", m_table ? static_cast<std::int64_t>(m_table->config().version) : 0 } },
        monotonicNow());
}

} // namespace sagesaddle
