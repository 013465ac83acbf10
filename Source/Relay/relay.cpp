#include "Relay/relay.h"

#include "Base/overloaded.h"

#include <algorithm>

namespace sagesaddle {

namespace {

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
// Failures in a row after which an upstream counts as recovering.
constexpr int failuresBeforeSlowStart = 3;
// Lifetime of credit for sending to an upstream with a request limit.
constexpr milliseconds sendCreditLifetime { 500 };
// Retry time for callers if neither the route nor the load determines one.
constexpr milliseconds standardRetryAfter { 700 };
// Initial mean time of a call to a plain service, until the first answers are observed.
constexpr double initialCallMs = 50;
// Bounds for observed times of calls.
constexpr double minCallMs = 1;
constexpr double maxCallMs = 10000;
// Weight of a new observation in a model's statistics.
constexpr double observationWeight = 0.1;
// Sets of prompt parts whose last upstream is remembered.
constexpr std::size_t maxAffinities = 4096;
// Number of gateways that are assumed to share the fleet's budgets until the coordinator reports it.
constexpr unsigned assumedGateways = 10;

} // namespace

relay::relay(event_loop& loop, relay_options options, relay_telemetry& telemetry, relay_hooks hooks)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_telemetry(telemetry)
    , m_hooks(std::move(hooks))
    , m_configFreshness(m_options.maxConfigAge)
    , m_sendCredit(sendCreditLifetime)
    , m_callerMemory(m_options.callerMemoryBytes)
    , m_gatewayCount(assumedGateways)
    , m_readTimer(loop,
          [this] {
              const auto connections = std::exchange(m_toRead, {});
              m_closedCallers.clear();
              for (const auto& connection : connections)
                  connection->readPending();
          })
    , m_memoryTimer(loop, [this] { shedCallers(); })
    , m_placeTimer(loop, [this] { placeWaiting(); })
    , m_silenceTimer(loop,
          [this] {
              m_silenceTimer.start(silenceCheckInterval);
              updateColdLimits();
              checkSilence();
              exportCallerMemory();
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
    applyColdConfig(m_table->config().services);
    placeWaiting();
}

void relay::onUpstreams(const std::map<std::string, upstream_entry>& entries)
{
    const bool knewUpstreams = std::exchange(m_knowsUpstreams, true);
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
            if (knewUpstreams)
                beginSlowStart(*state, "listed");
        }
        if (state->entry.isDraining != entry.isDraining)
            m_telemetry.lines.write(
                log_level::Info, "upstream_draining", { { "upstream", id } }, monotonicNow());
        if (!state->hasCoordinatorUpdate
            && (state->loadedModels.empty() || state->entry.models != entry.models)) {
            const auto names = loadedModelRefs(entry.models);
            state->loadedModels = { names.begin(), names.end() };
        }
        applyEntry(*state, entry);
        m_byService[entry.service].push_back(state);
        startTimes.emplace(id, entry.startedAt);
    }
    m_sendCredit.onUpstreams(startTimes, bootTimeNow());
    m_coldLimits.onUpstreams(entries, monotonicNow());
    updateColdLimits();
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
    m_hasCoordinator = false;
    for (const auto& [id, upstream] : m_upstreams) {
        upstream->peerLoad = {};
        upstream->hasCoordinatorUpdate = false;
        upstream->pace.onCoordinatorLost();
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

void relay::requestCredit(const relay_exchange_ptr& request)
{
    m_hooks.requestCredit(request);
}

void relay::refund(const std::string& team, double tokens)
{
    m_hooks.refund(team, tokens);
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
    statsOf(request).onPlaced(now);
    if (const auto limit = m_sendCredit.limitInForce(upstream.entry.id, bootTimeNow())) {
        m_telemetry.metrics.add(
            "sagesaddle_limited_sends", "Requests sent to upstreams with a request limit");
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
    if (!isSound || request.request().promptTokens.value_or(0) <= 0)
        recordStartOutcome(upstream, { isSound ? 1U : 0U, 0, isSound ? 0U : 1U });
    if (isSound) {
        recordDuration(request);
        recordStreamSpeed(request, upstream);
    }
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
    recordStartOutcome(upstream, { 0, 0, 1 });
    if (upstream.failures >= failuresBeforeSlowStart)
        beginSlowStart(upstream, "failed");
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
    beginSlowStart(upstream, "heard");
}

void relay::probe(const upstream_state_ptr& upstream, monotonic_time now)
{
    if (upstream->isEvacuated || now - upstream->probedAt < probeInterval)
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
