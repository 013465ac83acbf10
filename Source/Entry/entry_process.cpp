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

constexpr std::size_t ioThreadCount = 4;
constexpr std::uint32_t adminWorkerCount = 4;
constexpr std::size_t decisionLogCapacity = 4096;
/// Time without a refusal after which an overload has ended.
constexpr milliseconds overloadQuietPeriod { 3000 };
constexpr milliseconds maintenancePeriod { 500 };
constexpr milliseconds livenessCheckPeriod { 200 };
constexpr milliseconds planningPeriod { 750 };
constexpr milliseconds drainPollPeriod { 10 };

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

// Whether requests can be charged to the rates of their teams. Before the first membership epoch nobody holds
// a share of a rate, and every charge would be refused. An entry without shares of its own charges the shares
// of other members.
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

// Members are destroyed in reverse order; each uses only members declared above it.
struct entry_process::impl {
    explicit impl(const entry_settings& entrySettings)
        : settings(entrySettings)
        , spans(spanOptions(settings))
        , peerConnections(ioThreads, settings.name, settings.seedPeers)
        , rateLimiter(
              settings.name,
              [this](const std::string& entry, const message& value) {
                  return peerConnections.send(entry, value);
              },
              settings.staticRates ? rate_sharing::Static : rate_sharing::Dynamic)
        , requestDispatcher(
              dispatcherOptions(settings), exchanges,
              [this](const std::string& upstream, const message& value) {
                  return sideConnections.send(upstream, value);
              },
              metrics, spans)
        , planner({ .self = settings.name, .log = settings.logAddress, .planner = settings.planner },
              planningServices())
        , sideConnections(ioThreads, exchanges, sideHandlers())
        , follower(
              { .log = settings.logAddress,
                  .self = settings.name,
                  .run = rateLimiter.runId(),
                  .maxStateAge = settings.maxStateAge,
                  .seedPeers = formatAddresses(settings.seedPeers) },
              [this](const std::string& entry, const message& value) {
                  return peerConnections.send(entry, value);
              },
              [this](const fleet_state_ptr& state) { onState(state); })
        , requestHandler(settings, requestServices())
        , adminHandler([this] { return status(); }, decisionLog, [this] { return metrics.serialize(); })
    {
        peerConnections.start(settings.peerListenAddress, peerHandlers());
        if (settings.hostListAddress)
            hostWatcher = std::make_unique<host_watcher>(
                *settings.hostListAddress, settings.hostListPeriod, [this](const std::string& host) {
                    writeLog(log_level::Info, "a host is leaving", { { "host", host } });
                    requestDispatcher.onLeaving(host);
                    planner.onLeaving(host);
                });
        maintenanceTask = std::make_unique<periodic_task>(maintenancePeriod, [this] { runMaintenance(); });
        livenessTask = std::make_unique<periodic_task>(
            livenessCheckPeriod, [this] { sideConnections.checkLiveness(); });
        if (settings.planningEnabled)
            planningTask = std::make_unique<periodic_task>(planningPeriod, [this] { planner.step(); });
        adminServer = std::make_unique<http_server>(
            http_server::options { .listen = settings.adminListenAddress, .workers = adminWorkerCount },
            [this](http_call& call) { adminHandler.handle(call); });
        callerServer = std::make_unique<http_server>(callerOptions(settings), [this](http_call& call) {
            if (draining)
                call.closeAfterResponse();
            requestHandler.handle(call);
        });
    }

    ~impl()
    {
        callerServer.reset();
        adminServer.reset();
        planningTask.reset();
        livenessTask.reset();
        maintenanceTask.reset();
        hostWatcher.reset();
        peerConnections.stop();
    }

    bool isReady() const
    {
        const fleet_state_ptr state = follower.state();
        return !draining && state && canCharge(*state, rateLimiter.mustRejoin())
            && follower.freshnessAt(monotonicNow()).isFresh;
    }

    void onState(const fleet_state_ptr& state)
    {
        rateLimiter.update(state, monotonicNow());
        requestDispatcher.update(state);
        sideConnections.update(state);
        peerConnections.update(*state);
    }

    side_connections::handlers sideHandlers()
    {
        return { [this](const load_report& report) { requestDispatcher.onLoad(report); },
            [this](const std::string& upstream, bool up) {
                requestDispatcher.onLink(upstream, up);
                planner.onLink(upstream, up);
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
            [this] { return requestDispatcher.loadReports(); }, [this] { return !draining; }, metrics };
    }

    peer_connections::handlers peerHandlers()
    {
        return { [this](const tail_request& request) { return follower.answerTail(request); },
            [this](const credit_ask& ask) { return rateLimiter.answer(ask, monotonicNow()); },
            [this](const std::string& entry, const tail_answer& tail) { follower.onTailAnswer(entry, tail); },
            [this](const credit_grant& grant) { rateLimiter.onGrant(grant, monotonicNow()); } };
    }

    request_handler::services requestServices()
    {
        return { [this] { return follower.state(); },
            [this](monotonic_time now) { return follower.freshnessAt(now); },
            [this](const std::string& team, double tokens, monotonic_time deadline) {
                return rateLimiter.admit(team, tokens, deadline);
            },
            [this] { return isReady(); }, [this] { return rejecting.load(); }, requestDispatcher, metrics,
            spans, decisionLog, overloadMonitor };
    }

    admin_status status()
    {
        const monotonic_time now = monotonicNow();
        return { settings.name, isReady(), draining, follower.freshnessAt(now), follower.state(),
            requestHandler.inFlight(), requestDispatcher.loadReports(), sideConnections.connectionStates(),
            peerConnections.connectionStates(), overloadMonitor.active(), now };
    }

    void runMaintenance()
    {
        const freshness stateFreshness = follower.freshnessAt(monotonicNow());
        const fleet_state_ptr state = follower.state();
        metrics.set("sagesaddle_in_flight", "Requests of callers that are being worked on.",
            requestHandler.inFlight());
        metrics.set("sagesaddle_state_age_seconds",
            "Age of the evidence that the configuration is the newest.",
            std::chrono::duration<double>(stateFreshness.age).count());
        metrics.set("sagesaddle_log_away", "1 while the log cannot be read from here.",
            stateFreshness.isLogUnreachable ? 1 : 0);
        metrics.set("sagesaddle_state_offset", "Offset of the next record to fold.",
            state ? static_cast<double>(state->nextOffset) : 0);
        metrics.set("sagesaddle_spans_dropped", "Spans that did not reach the collector.",
            static_cast<double>(spans.dropped()));
        reportOverloads();
        if (rateLimiter.mustRejoin())
            follower.rejoin();
    }

    void reportOverloads()
    {
        const overload_change change = overloadMonitor.takeChanges(monotonicNow());
        for (const auto& teamOverload : change.began)
            writeLog(log_level::Warning, "overload began",
                { { "team", teamOverload.team }, { "cause", teamOverload.cause } });
        for (const auto& teamOverload : change.ended)
            writeLog(log_level::Warning, "overload ended",
                { { "team", teamOverload.team }, { "cause", teamOverload.cause },
                    { "refusals", teamOverload.refusals } });
        for (const auto& [overloads, value] :
            { std::pair(&change.began, 1.0), std::pair(&change.ended, 0.0) }) {
            for (const auto& teamOverload : *overloads)
                metrics.set("sagesaddle_overload", "1 while requests are refused for want of room.", value,
                    { { "team", teamOverload.team }, { "cause", teamOverload.cause } });
        }
    }

    const entry_settings settings;
    std::atomic<bool> draining { false };
    std::atomic<bool> rejecting { false };
    metric_registry metrics;
    span_exporter spans;
    decision_log decisionLog { decisionLogCapacity };
    overload_monitor overloadMonitor { overloadQuietPeriod };
    exchange_table exchanges;
    io_thread_pool ioThreads { ioThreadCount };
    peer_connections peerConnections;
    rate_limiter rateLimiter;
    dispatcher requestDispatcher;
    planner_loop planner;
    side_connections sideConnections;
    fleet_follower follower;
    request_handler requestHandler;
    admin_handler adminHandler;
    std::unique_ptr<host_watcher> hostWatcher;
    std::unique_ptr<periodic_task> maintenanceTask;
    std::unique_ptr<periodic_task> livenessTask;
    std::unique_ptr<periodic_task> planningTask;
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
    writeLog(log_level::Info, "draining", { { "in_flight", parts.requestHandler.inFlight() } });
    std::this_thread::sleep_for(parts.settings.drainDelay);
    parts.rejecting = true;
    const monotonic_time limit = monotonicNow() + parts.settings.drainTimeout;
    while (parts.requestHandler.inFlight() > 0 && monotonicNow() < limit)
        std::this_thread::sleep_for(drainPollPeriod);
    parts.follower.leave();
    writeLog(log_level::Info, "drained", { { "in_flight", parts.requestHandler.inFlight() } });
}

} // namespace sagesaddle
