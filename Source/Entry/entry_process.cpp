#include "Entry/entry_process.h"

#include "Agree/fleet_follower.h"
#include "Entry/admin_handler.h"
#include "Entry/dispatcher.h"
#include "Entry/exchange.h"
#include "Entry/host_watcher.h"
#include "Entry/overload_monitor.h"
#include "Entry/peer_connections.h"
#include "Entry/periodic_task.h"
#include "Entry/planner_loop.h"
#include "Entry/request_handler.h"
#include "Entry/side_connections.h"
#include "Limit/rate_limiter.h"
#include "Serve/http_server.h"
#include "Watch/log.h"
#include "Watch/metric_registry.h"
#include "Watch/span_exporter.h"
#include "Wire/io_thread_pool.h"

#include <atomic>
#include <chrono>
#include <random>
#include <thread>

namespace sagesaddle {

namespace {

constexpr std::size_t wireThreads = 4;
constexpr std::uint32_t adminWorkers = 4;
constexpr std::size_t rememberedDecisions = 4096;
constexpr milliseconds overloadQuiet { 3000 };
constexpr milliseconds housekeepingPeriod { 500 };
constexpr milliseconds silencePeriod { 200 };
constexpr milliseconds planningPeriod { 750 };
constexpr milliseconds drainPoll { 10 };

dispatcher::options dispatcherOptions(const entry_settings& settings)
{
    return { settings.region, settings.zone, std::random_device {}(), settings.retriesPerRequest,
        settings.retryReserve, settings.roundRobin };
}

span_exporter::options spanOptions(const entry_settings& settings)
{
    return { .collector = settings.traceCollector, .service = "sagesaddle-entry", .instance = settings.name };
}

http_server::options callerOptions(const entry_settings& settings)
{
    return { .listen = settings.callerListenAddress,
        .workers = settings.workers,
        .requestTimeout = settings.bodyTimeout,
        .certificateFile = settings.certificateFile };
}

// Before the first epoch nobody holds a part of the teams' rates, and every charge would be refused.
// An entry without shares of its own charges requests to those of the other members.
bool canCharge(const fleet_state& state, bool mustRejoin)
{
    const std::size_t holders = state.epoch.members.size();
    return state.teams.empty() || holders > 1 || (holders == 1 && !mustRejoin);
}

std::vector<std::string> formatAddresses(const std::vector<address>& addresses)
{
    std::vector<std::string> texts;
    texts.reserve(addresses.size());
    for (const auto& value : addresses)
        texts.push_back(formatAddress(value));
    return texts;
}

} // namespace

// Members are destroyed from the last to the first; each uses only those above it.
struct entry_process::impl {
    explicit impl(const entry_settings& given)
        : settings(given)
        , spans(spanOptions(settings))
        , peers(pool, settings.name, settings.seedPeers)
        , gate(
              settings.name,
              [this](const std::string& entry, const message& value) { return peers.send(entry, value); },
              settings.staticRates ? rate_sharing::Static : rate_sharing::Dynamic)
        , routes(
              dispatcherOptions(settings), exchanges,
              [this](
                  const std::string& upstream, const message& value) { return sides.send(upstream, value); },
              metrics, spans)
        , planning({ .self = settings.name, .log = settings.logAddress, .planner = settings.planner },
              planningServices())
        , sides(pool, exchanges, sideHandlers())
        , follower(
              { .log = settings.logAddress,
                  .self = settings.name,
                  .run = gate.runId(),
                  .maxStateAge = settings.maxStateAge,
                  .seedPeers = formatAddresses(settings.seedPeers) },
              [this](const std::string& entry, const message& value) { return peers.send(entry, value); },
              [this](const fleet_state_ptr& state) { onState(state); })
        , requests(settings, requestServices())
        , admin([this] { return report(); }, decisions, [this] { return metrics.serialize(); })
    {
        peers.start(settings.peerListenAddress, peerHandlers());
        if (settings.hostListAddress)
            hosts = std::make_unique<host_watcher>(
                *settings.hostListAddress, settings.hostListPeriod, [this](const std::string& host) {
                    writeLog(log_level::Info, "a host is leaving", { { "host", host } });
                    routes.onLeaving(host);
                    planning.onLeaving(host);
                });
        keeper = std::make_unique<periodic_task>(housekeepingPeriod, [this] { housekeep(); });
        silenceKeeper = std::make_unique<periodic_task>(silencePeriod, [this] { sides.watch(); });
        if (settings.planningEnabled)
            planningKeeper = std::make_unique<periodic_task>(planningPeriod, [this] { planning.step(); });
        adminServer = std::make_unique<http_server>(
            http_server::options { .listen = settings.adminListenAddress, .workers = adminWorkers },
            [this](http_call& call) { admin.handle(call); });
        callerServer = std::make_unique<http_server>(callerOptions(settings), [this](http_call& call) {
            if (draining)
                call.closeAfterResponse();
            requests.handle(call);
        });
    }

    ~impl()
    {
        callerServer.reset();
        adminServer.reset();
        planningKeeper.reset();
        silenceKeeper.reset();
        keeper.reset();
        hosts.reset();
        peers.stop();
    }

    bool isReady() const
    {
        const fleet_state_ptr state = follower.state();
        return !draining && state && canCharge(*state, gate.mustRejoin())
            && follower.freshnessAt(monotonicNow()).fresh;
    }

    void onState(const fleet_state_ptr& state)
    {
        gate.update(state, monotonicNow());
        routes.update(state);
        sides.update(state);
        peers.update(*state);
    }

    side_connections::handlers sideHandlers()
    {
        return { [this](const load_report& report) { routes.onLoad(report); },
            [this](const std::string& upstream, bool up) {
                routes.onLink(upstream, up);
                planning.onLink(upstream, up);
            },
            [this](const std::string& upstream) {
                metrics.add("sagesaddle_stray_frames_total",
                    "Frames dropped because their request is no longer under way.",
                    { { "upstream", upstream } });
            } };
    }

    planner_loop::services planningServices()
    {
        return { [this] { return follower.state(); },
            [this](monotonic_time now) { return follower.freshnessAt(now); },
            [this] { return routes.loadReports(); }, [this] { return !draining; }, metrics };
    }

    peer_connections::handlers peerHandlers()
    {
        return { [this](const tail_ask& ask) { return follower.answerTail(ask); },
            [this](const credit_ask& ask) { return gate.answer(ask, monotonicNow()); },
            [this](const std::string& entry, const tail_answer& tail) { follower.onTailAnswer(entry, tail); },
            [this](const credit_grant& grant) { gate.onGrant(grant, monotonicNow()); } };
    }

    request_handler::services requestServices()
    {
        return { [this] { return follower.state(); },
            [this](monotonic_time now) { return follower.freshnessAt(now); },
            [this](const std::string& team, double tokens, monotonic_time deadline) {
                return gate.admit(team, tokens, deadline);
            },
            [this] { return isReady(); }, [this] { return refusing.load(); }, routes, metrics, spans,
            decisions, overloadMonitor };
    }

    admin_status report()
    {
        const monotonic_time now = monotonicNow();
        return { settings.name, isReady(), draining, follower.freshnessAt(now), follower.state(),
            requests.inFlight(), routes.loadReports(), sides.connectionStates(), peers.connectionStates(),
            overloadMonitor.active(), now };
    }

    void housekeep()
    {
        const freshness fresh = follower.freshnessAt(monotonicNow());
        const fleet_state_ptr state = follower.state();
        metrics.set(
            "sagesaddle_in_flight", "Requests of callers that are being worked on.", requests.inFlight());
        metrics.set("sagesaddle_state_age_seconds",
            "Age of the evidence that the configuration is the newest.",
            std::chrono::duration<double>(fresh.age).count());
        metrics.set("sagesaddle_log_away", "1 while the log cannot be read from here.",
            fresh.isLogUnreachable ? 1 : 0);
        metrics.set("sagesaddle_state_offset", "Offset of the next record to fold.",
            state ? static_cast<double>(state->nextOffset) : 0);
        metrics.set("sagesaddle_spans_dropped", "Spans that did not reach the collector.",
            static_cast<double>(spans.dropped()));
        tellOverload();
        if (gate.mustRejoin())
            follower.rejoin();
    }

    void tellOverload()
    {
        const overload_change change = overloadMonitor.takeChanges(monotonicNow());
        for (const auto& part : change.began)
            writeLog(
                log_level::Warning, "overload began", { { "team", part.team }, { "cause", part.cause } });
        for (const auto& part : change.ended)
            writeLog(log_level::Warning, "overload ended",
                { { "team", part.team }, { "cause", part.cause }, { "refusals", part.refusals } });
        for (const auto& [part, value] : { std::pair(&change.began, 1.0), std::pair(&change.ended, 0.0) }) {
            for (const auto& each : *part)
                metrics.set("sagesaddle_overload", "1 while requests are refused for want of room.", value,
                    { { "team", each.team }, { "cause", each.cause } });
        }
    }

    const entry_settings settings;
    std::atomic<bool> draining { false };
    std::atomic<bool> refusing { false };
    metric_registry metrics;
    span_exporter spans;
    decision_log decisions { rememberedDecisions };
    overload_monitor overloadMonitor { overloadQuiet };
    exchange_table exchanges;
    io_thread_pool pool { wireThreads };
    peer_connections peers;
    rate_limiter gate;
    dispatcher routes;
    planner_loop planning;
    side_connections sides;
    fleet_follower follower;
    request_handler requests;
    admin_handler admin;
    std::unique_ptr<host_watcher> hosts;
    std::unique_ptr<periodic_task> keeper;
    std::unique_ptr<periodic_task> silenceKeeper;
    std::unique_ptr<periodic_task> planningKeeper;
    std::unique_ptr<http_server> adminServer;
    std::unique_ptr<http_server> callerServer;
};

entry_process::entry_process(const entry_settings& settings)
    : m_impl(std::make_unique<impl>(settings))
{
    writeLog(log_level::Info, "entry started",
        { { "name", settings.name }, { "callers", formatAddress(settings.callerListenAddress) },
            { "admin", formatAddress(settings.adminListenAddress) } });
}

entry_process::~entry_process() = default;

void entry_process::drain()
{
    auto& parts = *m_impl;
    parts.draining = true;
    writeLog(log_level::Info, "draining", { { "in_flight", parts.requests.inFlight() } });
    std::this_thread::sleep_for(parts.settings.drainDelay);
    parts.refusing = true;
    const monotonic_time limit = monotonicNow() + parts.settings.drainTimeout;
    while (parts.requests.inFlight() > 0 && monotonicNow() < limit)
        std::this_thread::sleep_for(drainPoll);
    parts.follower.leave();
    writeLog(log_level::Info, "drained", { { "in_flight", parts.requests.inFlight() } });
}

} // namespace sagesaddle
