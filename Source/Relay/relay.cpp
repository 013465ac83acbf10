#include "Relay/relay.h"

#include "Base/overloaded.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

// Idle callers that are looked at for one to close: a request may have come on them that was not read yet.
constexpr std::size_t mostIdleLooks = 8;
// Silence of a plain service's upstream with requests after which it is avoided: above the usual time of a
// call.
constexpr milliseconds serviceSilence { 450 };
constexpr milliseconds silencePause { 100 };
// Pause between tries whether a silent upstream accepts connections again.
constexpr milliseconds probePause { 500 };
// First span for which a failed upstream is avoided; it doubles with each failure in a row.
constexpr milliseconds firstSuspicion { 250 };
constexpr int mostDoublings = 4;
// Pause between looks at waiting requests; well under an adapter's load.
constexpr milliseconds placePause { 10 };
// Part of its objective that a request may wait for a missing adapter; it comes within 100 ms or not soon.
constexpr double waitShare = 0.3;
// When to come back where neither the route nor the load tells.
constexpr milliseconds standardRetryAfter { 700 };
// Shortest time to come back, in objectives of the route: a caller that is back sooner meets the same crowd,
// and what could be served within an objective would not have been refused.
constexpr double returnObjectives = 2.5;
// Bounds of that time: clients take at most a third of the time that they have left.
constexpr milliseconds leastRetryAfter { 300 };
constexpr milliseconds mostRetryAfter { 3000 };
// Time beyond a model's load until it can be used: its order, and room that is made for it.
constexpr milliseconds loadReserve { 400 };
// Spread of the return of callers whose model is loaded.
constexpr milliseconds loadSpread { 300 };
// Clients wait for a return at most this part of the time that they have left.
constexpr int returnsWithinPart = 3;
// Spread of the callers' return, so that they do not come together.
constexpr double retrySpread = 0.5;
// How long a call to a plain service stays there, until the first answers tell.
constexpr double firstCallMs = 50;
// Bounds of a plausible stay.
constexpr double leastHoldMs = 1;
constexpr double mostHoldMs = 10000;
// Weight of a new observation of a model's pace.
constexpr double paceWeight = 0.1;
// Bounds of a plausible pace.
constexpr double leastPace = 0.002;
constexpr double mostPace = 0.2;
// Span over which the requests for a model are averaged.
constexpr double placedSeconds = 2;
// Prompts' parts that are remembered with the upstream that read them last.
constexpr std::size_t maxAffinities = 4096;
// Forecast beyond the objective up to which a request is still sent.
constexpr double lateFactor = 1.2;
// Gateways that are taken to share the fleet's budgets before the coordinator tells.
constexpr unsigned assumedGateways = 10;
// Objective of routes that name none.
constexpr double standardObjectiveMs = 1000;

} // namespace

relay::relay(event_loop& loop, relay_options options, relay_telemetry& watch, relay_hooks hooks)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_watch(watch)
    , m_hooks(std::move(hooks))
    , m_contact(m_options.maxConfigAge)
    , m_gateways(assumedGateways)
    , m_readTimer(loop,
          [this] {
              const auto links = std::exchange(m_toRead, {});
              m_closed.clear();
              for (const auto& link : links)
                  link->readPending();
          })
    , m_placeTimer(loop, [this] { placeWaiting(); })
    , m_silenceTimer(loop,
          [this] {
              m_silenceTimer.start(silencePause);
              lookForSilence();
          })
    , m_random(std::random_device {}())
{
    m_silenceTimer.start(silencePause);
}

relay::~relay() = default;

void relay::accept(evutil_socket_t socket)
{
    if (m_callers.size() >= m_options.maxCallers && !closeIdleCaller()) {
        m_watch.metrics.add("sagesaddle_callers_turned_away", "Connections closed for want of descriptors");
        m_watch.lines.write(
            log_level::Warning, "caller_turned_away", { { "callers", m_callers.size() } }, monotonicNow());
        evutil_closesocket(socket);
        return;
    }
    const auto link = std::make_shared<caller_connection>(*this, socket);
    m_callers.emplace(link.get(), link);
}

bool relay::closeIdleCaller()
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    for (const auto& [key, link] : m_callers) {
        if (link->isIdle())
            idle.push_back(link);
    }
    const auto looked = idle.begin() + static_cast<std::ptrdiff_t>(std::min(idle.size(), mostIdleLooks));
    std::partial_sort(idle.begin(), looked, idle.end(),
        [](const auto& left, const auto& right) { return left->idleSince() < right->idleSince(); });
    return std::any_of(idle.begin(), looked, [](const auto& link) { return link->drain(); });
}

void relay::logCallerCut(std::string_view why, bool hasRequest, bool hasIncoming, std::size_t unwritten)
{
    m_watch.lines.write(log_level::Warning, "caller_cut",
        { { "by", why }, { "request", hasRequest }, { "incoming", hasIncoming }, { "unwritten", unwritten } },
        monotonicNow());
}

void relay::removeCaller(const caller_connection& link)
{
    const auto found = m_callers.find(&link);
    if (found == m_callers.end())
        return;
    m_closed.push_back(std::move(found->second));
    m_callers.erase(found);
    m_readTimer.start({});
}

void relay::scheduleRead(const std::shared_ptr<caller_connection>& link)
{
    m_toRead.push_back(link);
    m_readTimer.start({});
}

const caller_limits& relay::limits() const
{
    static const caller_limits standard;
    return m_table ? m_table->config().limits : standard;
}

void relay::setOptions(const relay_options& options)
{
    m_contact.setKeysFor(options.maxConfigAge);
    const bool isSameBudget = m_options.retriesPerRequest == options.retriesPerRequest
        && m_options.retrySlack == options.retrySlack;
    m_options = options;
    // Budgets begin anew with other bounds.
    if (!isSameBudget)
        m_retries.clear();
}

void relay::onConfig(fleet_config_ptr config)
{
    if (m_table && config->version <= m_table->config().version)
        return;
    m_table = std::make_shared<const route_table>(std::move(config));
    const monotonic_time now = monotonicNow();
    m_watch.lines.write(log_level::Info, "config_in_force",
        { { "version", m_table->config().version }, { "routes", m_table->config().routes.size() },
            { "teams", m_table->config().teams.size() } },
        now);
    for (const auto& team : m_table->config().teams)
        m_watch.lines.write(log_level::Info, "limit_in_force",
            { { "team", team.name }, { "rate_per_s", team.ratePerSecond }, { "burst", team.burst },
                { "keys", team.keys.size() } },
            now);
    placeWaiting();
}

void relay::onUpstreams(const std::map<std::string, upstream_entry>& entries)
{
    m_knowsUpstreams = true;
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const auto listed = entries.find(entry->first);
        if (listed != entries.end() && listed->second.isSameStart(entry->second->entry)) {
            ++entry;
            continue;
        }
        entry->second->isGone = true;
        m_watch.lines.write(
            log_level::Info, "upstream_gone", { { "upstream", entry->first } }, monotonicNow());
        entry = m_upstreams.erase(entry);
    }
    m_byService.clear();
    for (const auto& [id, entry] : entries) {
        auto& state = m_upstreams[id];
        if (!state) {
            state = std::make_shared<upstream_state>(m_loop, entry);
            const auto left = m_leftStarts.find(id);
            state->isLeaving = left != m_leftStarts.end() && left->second == entry.startedAt;
            if (left != m_leftStarts.end() && !state->isLeaving)
                m_leftStarts.erase(left);
            m_watch.lines.write(log_level::Info, "upstream_listed",
                { { "upstream", id }, { "service", entry.service },
                    { "address", formatAddress(entry.where) } },
                monotonicNow());
        }
        if (state->entry.isDraining != entry.isDraining)
            m_watch.lines.write(log_level::Info, "upstream_draining", { { "upstream", id } }, monotonicNow());
        if (!state->hasCoordinatorUpdate
            && (state->loadedModels.empty() || state->entry.models != entry.models)) {
            const auto names = holdingNames(entry.models);
            state->loadedModels = { names.begin(), names.end() };
        }
        state->entry = entry;
        m_byService[entry.service].push_back(state);
    }
    placeWaiting();
}

bool relay::onLoadedModels(const std::string& id, const held_change& change)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return true;
    upstream_state& upstream = *found->second;
    if (change.isChange && !upstream.hasCoordinatorUpdate)
        return false;
    if (!change.isChange)
        upstream.loadedModels.clear();
    upstream.loadedModels.insert(change.held.begin(), change.held.end());
    for (const auto& name : change.dropped)
        upstream.loadedModels.erase(name);
    upstream.hasCoordinatorUpdate = true;
    schedulePlacement();
    return true;
}

void relay::onCoordinatorLost()
{
    for (const auto& [id, upstream] : m_upstreams) {
        upstream->foreign = {};
        upstream->hasCoordinatorUpdate = false;
    }
}

void relay::onGatewayCount(unsigned count)
{
    if (count == 0 || count == m_gateways)
        return;
    m_gateways = count;
    // Budgets start anew with the new part of the slack.
    m_retries.clear();
}

void relay::onPeerLoad(const std::string& id, const peer_load& load)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end())
        found->second->foreign = load;
}

void relay::onConfigConfirmed(monotonic_time provenAt)
{
    m_contact.onProof(provenAt);
}

bool relay::mayUseKeys() const
{
    return m_contact.mayUseKeys(suspendedNow());
}

milliseconds relay::fallbackRetryAfter() const
{
    return standardRetryAfter;
}

bool relay::isReady() const
{
    if (m_draining || !m_table || !m_knowsUpstreams)
        return false;
    return m_table->config().teams.empty() || (m_knowsLimits && mayUseKeys());
}

void relay::drain()
{
    m_draining = true;
    const auto links = m_callers;
    for (const auto& [key, link] : links)
        link->drain();
}

bool relay::isIdle() const
{
    return m_running == 0 && std::all_of(m_callers.begin(), m_callers.end(), [](const auto& item) {
        return item.second->unwritten() == 0;
    });
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
    // The last part is the request's own; those before it are shared.
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
    const std::string wanted = request.request().modelRef();
    for (const auto& upstream : service->second) {
        if (upstream->isOpen(now) && upstream->hasLoaded(wanted) && !tried.contains(upstream->entry.id))
            found.push_back(upstream);
    }
    // A silent one gets a request only to see whether it answers again, and only where no other can take it.
    const bool anyHeard = std::any_of(
        found.begin(), found.end(), [](const upstream_state_ptr& upstream) { return !upstream->isSilent; });
    std::erase_if(found, [&](const upstream_state_ptr& upstream) {
        return upstream->isSilent && (anyHeard || upstream->inFlight > 0);
    });
    return found;
}

std::vector<engine_candidate> relay::describe(
    const relay_exchange& request, const std::vector<upstream_state_ptr>& upstreams)
{
    const monotonic_time now = monotonicNow();
    engine_candidate common;
    const service_config* service = m_table->findService(request.service());
    if (service != nullptr && service->engine)
        common.memoryTotal = service->engine->memoryTokens;
    const model_pace& known = paceOf(request);
    common.millisecondsPerToken = known.millisecondsPerToken;
    common.holdMilliseconds = known.holdMilliseconds;
    double sharedTokens = 0;
    const auto& parts = request.request().parts;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index)
        sharedTokens += parts[index].tokens;
    const auto keeper = m_affinity.find(affinityKey(request));
    std::vector<engine_candidate> candidates(upstreams.size(), common);
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        const upstream_state& upstream = *upstreams[index];
        engine_candidate& candidate = candidates[index];
        candidate.inFlight = upstream.inFlight + upstream.foreign.inFlight;
        candidate.slots = upstream.entry.slots;
        candidate.isNear = upstream.entry.zone == m_options.zone;
        candidate.isSuspect = upstream.isSuspect(now);
        candidate.faultShare = upstream.faults.value(now);
        candidate.tokensAhead = upstream.tokensAhead + upstream.foreign.tokensAhead;
        candidate.memoryUsed = upstream.memoryTokens + upstream.foreign.memoryTokens;
        if (keeper != m_affinity.end() && keeper->second == upstream.entry.id)
            candidate.cachedTokens = sharedTokens;
    }
    return candidates;
}

relay_choice relay::chooseUpstream(const relay_exchange& request, const std::set<std::string>& tried)
{
    const auto upstreams = candidatesFor(request, tried);
    if (upstreams.empty()) {
        if (const auto resting = whenResting(request))
            return *resting;
        return whenAbsent(request, m_byService.contains(request.service()));
    }
    const auto candidates = describe(request, upstreams);
    engine_demand demand;
    demand.promptTokens = request.request().promptTokens.value_or(0);
    demand.memoryTokens = demand.promptTokens + request.request().maxAnswerTokens / 2.0;
    const double objective = request.route().objective.count() > 0
        ? static_cast<double>(request.route().objective.count())
        : standardObjectiveMs;
    const double spent = secondsBetween(request.arrivedAt(), monotonicNow()) * 1000;
    demand.objectiveMilliseconds = std::max(objective - spent, objective / 4);
    return std::visit(
        overloaded { [&](const engine_pick& pick) -> relay_choice {
                        return relay_send { upstreams[pick.index], pick.firstEventMilliseconds };
                    },
            [&](const engine_full& full) -> relay_choice {
                noteFull(request, full, candidates);
                return whenFull(request, full);
            },
            [&](const engine_none&) -> relay_choice { return whenAbsent(request, true); } },
        chooseAmong(request, candidates, demand));
}

double relay::model_pace::placedRate(monotonic_time now) const
{
    return placedPerSecond * std::exp(-secondsBetween(placedAt, now) / placedSeconds);
}

double relay::placedUnseen(const relay_exchange& request, monotonic_time now)
{
    const model_pace& known = paceOf(request);
    const double rate = known.placedRate(now);
    // News come with whole reports: at their pause, or sooner where a request asks for credit.
    const fleet_pace pace = sagesaddle::paceOf(m_gateways);
    const double newsAge
        = std::chrono::duration<double>(pace.reportPause + pace.leastReportPause).count() / 2;
    return rate * (m_gateways - 1) * newsAge;
}

engine_choice relay::chooseAmong(const relay_exchange& request,
    const std::vector<engine_candidate>& candidates, const engine_demand& demand)
{
    auto indices = sampleEngines(
        candidates.size(), placedUnseen(request, monotonicNow()), [this] { return randomFraction(); });
    if (indices.size() < candidates.size()) {
        // Whoever keeps the prompt's parts is looked at in any case.
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (candidates[index].cachedTokens > 0
                && std::find(indices.begin(), indices.end(), index) == indices.end())
                indices.push_back(index);
        }
        std::vector<engine_candidate> few;
        few.reserve(indices.size());
        for (const std::size_t index : indices)
            few.push_back(candidates[index]);
        const auto choice = chooseEngine(few, demand, lateFactor);
        if (const auto* pick = std::get_if<engine_pick>(&choice))
            return engine_pick { indices[pick->index], pick->firstEventMilliseconds };
    }
    return chooseEngine(candidates, demand, lateFactor);
}

std::optional<relay_choice> relay::whenResting(const relay_exchange& request)
{
    const auto service = m_byService.find(request.service());
    if (service == m_byService.end())
        return std::nullopt;
    const monotonic_time now = monotonicNow();
    const std::string wanted = request.request().modelRef();
    std::optional<monotonic_time> soonest;
    for (const auto& upstream : service->second) {
        if (upstream->entry.isDraining || upstream->isLeaving || now >= upstream->requestedBackoffUntil
            || !upstream->hasLoaded(wanted))
            continue;
        soonest
            = std::min(soonest.value_or(upstream->requestedBackoffUntil), upstream->requestedBackoffUntil);
    }
    if (!soonest)
        return std::nullopt;
    const auto rest = std::chrono::duration_cast<milliseconds>(*soonest - now);
    return relay_refuse { refusal_reason::Overloaded, rest + declinedRetryAfter(request) };
}

relay_choice relay::whenAbsent(const relay_exchange& request, bool anyUpstream)
{
    const auto& asked = request.request();
    if (!anyUpstream || asked.model.empty())
        return relay_refuse { refusal_reason::NoUpstream, declinedRetryAfter(request) };
    m_hooks.onModelMissing(request.service(), asked.model, asked.adapter);
    const bool hasModel = std::any_of(m_byService[request.service()].begin(),
        m_byService[request.service()].end(), [&](const upstream_state_ptr& upstream) {
            return upstream->isOpen(monotonicNow()) && upstream->hasLoaded(asked.model);
        });
    const double waited = secondsBetween(request.arrivedAt(), monotonicNow()) * 1000;
    const double objective
        = static_cast<double>(std::max<std::int64_t>(request.route().objective.count(), 1));
    if (hasModel && !asked.adapter.empty() && waited < objective * waitShare)
        return relay_wait {};
    return relay_refuse { refusal_reason::ModelAbsent,
        hasModel ? declinedRetryAfter(request) : loadedRetryAfter(request) };
}

milliseconds relay::loadedRetryAfter(const relay_exchange& request)
{
    const milliseconds least = declinedRetryAfter(request);
    const service_config* service = m_table->findService(request.service());
    const model_config* model
        = service != nullptr && service->engine ? service->engine->find(request.request().model) : nullptr;
    if (model == nullptr)
        return least;
    const milliseconds spread(static_cast<std::int64_t>(randomFraction() * loadSpread.count()));
    const milliseconds longest = request.timeLeft() / returnsWithinPart;
    return std::max(least, std::min(model->loadTime + loadReserve + spread, longest));
}

void relay::noteFull(
    const relay_exchange& request, const engine_full& full, const std::vector<engine_candidate>& candidates)
{
    int inFlight = 0;
    double ahead = 0;
    for (const auto& candidate : candidates) {
        inFlight += candidate.inFlight;
        ahead += candidate.tokensAhead;
    }
    m_watch.lines.write(log_level::Warning, "no_room",
        { { "id", request.request().id }, { "model", request.request().model },
            { "candidates", candidates.size() }, { "forecast_ms", full.firstEventMilliseconds },
            { "objective_ms", request.route().objective.count() }, { "in_flight", inFlight },
            { "tokens_ahead", ahead }, { "ms_per_token", candidates.front().millisecondsPerToken } },
        monotonicNow());
}

relay_choice relay::whenFull(const relay_exchange& request, const engine_full& full)
{
    const auto excess = milliseconds(static_cast<std::int64_t>(
        full.firstEventMilliseconds - static_cast<double>(request.route().objective.count())));
    return relay_refuse { refusal_reason::Overloaded,
        std::max(excess, returnsOf(request).onRefused(1, monotonicNow())) };
}

milliseconds relay::shortestReturn(const relay_exchange& request)
{
    const double wanted = returnObjectives * static_cast<double>(request.route().objective.count());
    return std::clamp(milliseconds(static_cast<std::int64_t>(wanted)), leastRetryAfter, mostRetryAfter);
}

return_schedule& relay::returnsOf(const relay_exchange& request)
{
    return m_returns.try_emplace(modelKey(request), shortestReturn(request)).first->second;
}

milliseconds relay::declinedRetryAfter(const relay_exchange& request)
{
    const milliseconds shortest = shortestReturn(request);
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
        m_placeTimer.start(placePause);
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
        = m_retries.try_emplace(service, m_options.retriesPerRequest, m_options.retrySlack / m_gateways)
              .first;
    const bool may = found->second.tryRetry();
    m_watch.metrics.add(
        "sagesaddle_retries", "Second sends by service", { { "allowed", may ? "yes" : "no" } });
    return may;
}

void relay::recordDemand(const relay_exchange& request)
{
    m_retries.try_emplace(request.service(), m_options.retriesPerRequest, m_options.retrySlack / m_gateways)
        .first->second.onRequest();
    if (m_hooks.recordDemand)
        m_hooks.recordDemand(request);
}

void relay::onMisdirected(const upstream_state_ptr& upstream)
{
    m_watch.lines.write(log_level::Warning, "misdirected",
        { { "upstream", upstream->entry.id }, { "address", formatAddress(upstream->entry.where) } },
        monotonicNow());
    upstream->suspectUntil = monotonicNow() + firstSuspicion;
}

void relay::applyAnswerMetadata(const upstream_state_ptr& upstream, const upstream_answer_metadata& terms)
{
    const monotonic_time now = monotonicNow();
    if (terms.isLeaving && !upstream->isLeaving) {
        upstream->isLeaving = true;
        m_leftStarts[upstream->entry.id] = upstream->entry.startedAt;
        m_watch.lines.write(log_level::Info, "upstream_leaving", { { "upstream", upstream->entry.id } }, now);
    }
    if (terms.requestedBackoff) {
        upstream->requestedBackoffUntil
            = std::max(upstream->requestedBackoffUntil, now + *terms.requestedBackoff);
        m_watch.lines.write(log_level::Info, "upstream_rests",
            { { "upstream", upstream->entry.id }, { "ms", terms.requestedBackoff->count() } }, now);
    }
}

void relay::logBadRequest(const char* what)
{
    m_watch.lines.write(log_level::Warning, "bad_request", { { "error", what } }, monotonicNow());
}

void relay::recordSend(
    const relay_exchange& request, upstream_state& upstream, double forecast, int earlierSends)
{
    const auto key = affinityKey(request);
    if (!key.empty()) {
        if (m_affinity.size() >= maxAffinities)
            m_affinity.erase(m_affinity.begin());
        m_affinity[key] = upstream.entry.id;
    }
    const monotonic_time now = monotonicNow();
    returnsOf(request).onTaken(1, now);
    model_pace& pace = paceOf(request);
    pace.placedPerSecond = pace.placedRate(now) + 1 / placedSeconds;
    pace.placedAt = now;
    m_watch.lines.write(log_level::Debug, "sent",
        { { "id", request.request().id }, { "upstream", upstream.entry.id }, { "forecast_ms", forecast },
            { "in_flight", upstream.inFlight + upstream.foreign.inFlight },
            { "earlier_sends", earlierSends } },
        now);
}

void relay::recordFirstByte(
    const relay_exchange& request, const upstream_state& upstream, double elapsed, double tokensAhead)
{
    m_watch.metrics.observeSeconds("sagesaddle_first_byte_seconds", "Time from send to first byte", elapsed);
    const double prompt = request.request().promptTokens.value_or(0);
    if (prompt <= 0 || !request.route().isStream())
        return;
    model_pace& pace = paceOf(request);
    if (upstream.inFlight + upstream.foreign.inFlight <= upstream.entry.slots) {
        const double seen = std::clamp(elapsed * 1000 / (prompt + tokensAhead), leastPace, mostPace);
        pace.millisecondsPerToken += paceWeight * (seen - pace.millisecondsPerToken);
    }
}

relay::model_pace& relay::paceOf(const relay_exchange& request)
{
    const auto [found, isNew] = m_paces.try_emplace(modelKey(request));
    if (isNew && request.request().model.empty())
        found->second.holdMilliseconds = firstCallMs;
    return found->second;
}

void relay::recordAnswer(const relay_exchange& request, upstream_state& upstream, bool isSound)
{
    const monotonic_time now = monotonicNow();
    upstream.faults.onOutcome(!isSound, now);
    // Streams keep the first guess: it weighs a full engine, and a learned stay refused more of them.
    if (!isSound || !request.request().model.empty())
        return;
    const double stayed
        = std::clamp(secondsBetween(request.transmittedAt(), now) * 1000, leastHoldMs, mostHoldMs);
    model_pace& pace = paceOf(request);
    pace.holdMilliseconds += paceWeight * (stayed - pace.holdMilliseconds);
}

void relay::logMismatchedAnswer(const relay_exchange& request, const upstream_state& upstream)
{
    m_watch.lines.write(log_level::Warning, "foreign_answer",
        { { "id", request.request().id }, { "upstream", upstream.entry.id } }, monotonicNow());
}

void relay::recordFailure(upstream_state& upstream, bool beforeFirstByte)
{
    const monotonic_time now = monotonicNow();
    upstream.faults.onOutcome(true, now);
    upstream.failures = std::min(upstream.failures + 1, mostDoublings);
    upstream.suspectUntil
        = std::max(upstream.suspectUntil, now + firstSuspicion * (1 << (upstream.failures - 1)));
    m_watch.lines.write(log_level::Warning, "upstream_failed",
        { { "upstream", upstream.entry.id }, { "before_first_byte", beforeFirstByte },
            { "failures", upstream.failures } },
        now);
}

void relay::recordActivity(upstream_state& upstream)
{
    upstream.lastActivityAt = monotonicNow();
    if (!upstream.isSilent)
        return;
    upstream.isSilent = false;
    m_watch.lines.write(
        log_level::Info, "upstream_heard", { { "upstream", upstream.entry.id } }, upstream.lastActivityAt);
}

void relay::probe(const upstream_state_ptr& upstream, monotonic_time now)
{
    if (now - upstream->probedAt < probePause)
        return;
    if (upstream->probe)
        upstream->probe->close();
    upstream->probedAt = now;
    upstream->probe = upstream->pool.acquire(true);
    const std::weak_ptr<upstream_state> probed = upstream;
    upstream->probe->attach({ [this, probed] {
                                 if (const auto alive = probed.lock()) {
                                     const auto link = std::exchange(alive->probe, nullptr);
                                     recordActivity(*alive);
                                     alive->pool.release(link);
                                 }
                             },
        {}, {}, {}, {} });
}

void relay::lookForSilence()
{
    const monotonic_time now = monotonicNow();
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream->isSilent)
            probe(upstream, now);
        // An engine that reads long prompts is silent too; its list entry lapses where it is gone.
        const service_config* service = m_table ? m_table->findService(upstream->entry.service) : nullptr;
        if (upstream->requests.empty() || (service != nullptr && service->engine))
            continue;
        monotonic_time oldest = now;
        for (const auto* request : upstream->requests)
            oldest = std::min(oldest, request->dispatchedAt());
        if (now - std::max(oldest, upstream->lastActivityAt) < serviceSilence)
            continue;
        if (!upstream->isSilent) {
            m_watch.lines.write(log_level::Warning, "upstream_silent",
                { { "upstream", id }, { "requests", upstream->requests.size() },
                    { "seconds", secondsBetween(std::max(oldest, upstream->lastActivityAt), now) } },
                now);
            upstream->probedAt = now;
            upstream->isSilent = true;
        }
        // Moving a request changes the set.
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
    m_watch.metrics.add("sagesaddle_refusals", "Requests that the system ended itself",
        { { "reason", std::string(refusalOf(reason).name) }, { "team", request.team() } });
}

void relay::recordEnd(const relay_exchange& request, std::string_view outcome, int status, int sends,
    const upstream_state* upstream)
{
    --m_running;
    const bool isFailure = outcome != "answered" || status >= 500;
    const double elapsed = secondsBetween(request.arrivedAt(), monotonicNow());
    m_watch.metrics.observeSeconds("sagesaddle_request_seconds", "Time from arrival to the end", elapsed);
    // What this process added before the upstream could begin: limits, waiting and choosing.
    const double waited = sends > 0 ? secondsBetween(request.arrivedAt(), request.transmittedAt()) : elapsed;
    m_watch.metrics.observeSeconds("sagesaddle_dispatch_seconds",
        "Time from arrival until the request left for an upstream, or ended here", waited);
    m_watch.lines.write(isFailure ? log_level::Warning : log_level::Info, isFailure ? "ended" : "answered",
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
