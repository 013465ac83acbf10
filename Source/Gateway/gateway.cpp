#include "Gateway/gateway.h"

#include "Base/http_status.h"
#include "Base/join.h"
#include "Gateway/member_name.h"
#include "caller_wire.h"

#include <algorithm>
#include <csignal>
#include <unistd.h>

namespace sagesaddle {

namespace {

// Part of the time in which a withdrawn key must stop that the evidence may age; the rest covers the way of a
// request and the look before each send.
constexpr double keysPart = 0.86;
// Time without a renewal after which another gateway takes the duty; three renewals may be lost within it.
constexpr milliseconds dutyTimeToLive { 1700 };
// How much earlier the holder stops by itself.
constexpr milliseconds dutyMargin { 250 };
constexpr milliseconds dutyRenewal { 500 };
// Time beyond the lease from taking the duty to the first order, for orders that are still on their way.
constexpr milliseconds settleReserve { 300 };
// Pause between looks at what engines need.
constexpr milliseconds orderPause { 50 };
// Part of the fleet's bound on second sends that is used; the rest covers gateways that come and go.
constexpr double retryPart = 0.6;
// Time from not being ready to the end, for the platform to send callers elsewhere.
constexpr milliseconds leastDrain { 2500 };
constexpr milliseconds drainStepPause { 50 };
// Looks in a row that find the process idle before it ends: callers have read what was written last.
constexpr int idleStepsToEnd = 4;
// Time before the process is killed at which it ends by itself.
constexpr milliseconds endReserve { 300 };
// Descriptors kept for files, peers and upstreams; each caller may need one upstream connection.
constexpr std::int64_t reservedDescriptors = 400;
// Hosts below these coordinate only where no other does: each report costs about 0.1 ms of a core and 2 KB.
constexpr double enoughCores = 0.15;
constexpr double enoughLinkMbps = 50;
constexpr milliseconds weakReluctance { 700 };

bool isFitToCoordinate(const gateway_settings& settings)
{
    return settings.cores >= enoughCores && settings.linkMbps >= enoughLinkMbps;
}

} // namespace

gateway::gateway(event_loop& loop, gateway_settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_member(makeMemberName(m_settings.peers))
    , m_lines(STDOUT_FILENO, m_settings.level)
    , m_watch { m_lines, m_metrics }
    , m_relay(loop, relayOptions(), m_watch,
          { [this](const relay_exchange_ptr& request) { m_share.askCredit(request); },
              [this](const std::string& team, double tokens) { m_share.refund(team, tokens); },
              [this](const std::string& service, const std::string& model, const std::string& adapter) {
                  m_share.onWanted(service, model, adapter);
              },
              [this](const relay_exchange& request) { m_share.onDemand(request); } })
    , m_follower(loop, m_settings.store, m_member, memberNamePrefix(m_settings.peers),
          lease_times { dutyTimeToLive, dutyMargin, dutyRenewal, m_settings.handoverPause + settleReserve,
              isFitToCoordinate(m_settings) ? milliseconds(0) : weakReluctance },
          m_lines,
          { [this](const fleet_config_ptr& config) {
               m_coordinator.onConfig(*config, monotonicNow());
               m_share.onConfig(*config);
               m_relay.onConfig(config);
           },
              [this](const std::map<std::string, upstream_entry>& entries) {
                  m_coordinator.onUpstreams(m_follower.upstreams());
                  m_orders.onUpstreams(entries);
                  m_relay.onUpstreams(entries);
              },
              [this](monotonic_time provenAt) { m_relay.onContact(provenAt); }, [this] { onDuty(); },
              [this](const std::string& member, std::uint64_t leaseEnd) {
                  m_share.onLeaseHolder(addressOfMember(member), leaseEnd);
              },
              [this] { return m_share.hearsCoordinator(); },
              [this] { return m_share.hasRecentConfigProof(); },
              [this] { return m_coordinator.knownGatewayCount(monotonicNow()); },
              [this](unsigned count) { m_share.onFleetSizeFromLease(count); } })
    , m_orders(
          loop, m_coordinator, m_settings.name, [this]() -> const duty_lease& { return m_follower.lease(); },
          m_lines, m_metrics)
    , m_share(loop, m_settings.name, isFitToCoordinate(m_settings) ? m_member : std::string(), m_relay,
          m_lines,
          { [this](const fleet_report& report) { return answerReport(report); },
              [this] { return m_follower.isStoreUnreachable(); },
              [this](std::uint64_t configEnd, monotonic_time provenAt) {
                  m_follower.onRemoteConfigProof(configEnd, provenAt);
              },
              [this](const std::vector<upstream_record>& records, bool isWhole) {
                  m_follower.onRemoteUpstreams(records, isWhole);
              },
              [this](const duty_record& record) { m_follower.onRemoteLeaseRecord(record); },
              [this] { m_orders.runPass(); },
              [this](bool isSuccessor) { m_follower.setPreferred(isSuccessor); } })
    , m_reports(
          loop, m_settings.peers, [this](fleet_report report) { return answerReport(std::move(report)); })
    , m_readiness(loop, m_settings.readiness,
          [this](const http_head& head) -> status_server::reply {
              if (!platform::isReadinessCall(head))
                  return { statusNotFound, {}, {} };
              return { m_relay.isReady() ? statusOk : statusUnavailable, {}, {} };
          })
    , m_orderTimer(loop,
          [this] {
              m_orderTimer.start(orderPause);
              m_orders.runPass();
          })
    , m_drainTimer(loop, [this] { drainStep(); })
    , m_callers(loop, m_settings.callers, [this](evutil_socket_t socket) { m_relay.accept(socket); })
{
    if (m_settings.metrics)
        m_metricsServer = std::make_unique<status_server>(
            loop, *m_settings.metrics, [this](const http_head&) -> status_server::reply {
                return { statusOk, metric_registry::contentType, m_metrics.serialize() };
            });
    m_lines.write(log_level::Info, "started",
        { { "name", m_settings.name }, { "zone", m_settings.zone }, { "member", m_member } }, monotonicNow());
    m_follower.start();
    m_share.start();
    m_orderTimer.start(orderPause);
}

relay_options gateway::relayOptions() const
{
    relay_options options;
    options.zone = m_settings.zone;
    options.keysFor = milliseconds(
        static_cast<std::int64_t>(static_cast<double>(m_settings.revocationBound.count()) * keysPart));
    options.retriesPerRequest = m_settings.retryRatio * retryPart;
    options.retrySlack = m_settings.retrySlack * retryPart;
    options.maxCallers = static_cast<std::size_t>(
        std::max<std::int64_t>(16, (m_settings.descriptors - reservedDescriptors) / 2));
    return options;
}

void gateway::onDuty()
{
    const bool holds = m_follower.lease().holds(suspendedNow());
    const monotonic_time now = monotonicNow();
    // The lease cannot be renewed, nor taken by another.
    const bool isOnlyOne = m_coordinates && !m_isInterim && !m_relay.isDraining()
        && m_coordinator.isStoreUnreachableFromAll(now);
    m_isInterim = !holds && !isOnlyOne && !m_relay.isDraining() && m_share.isInterimDue();
    const bool coordinates = holds || isOnlyOne || m_isInterim;
    if (coordinates && !m_coordinates)
        m_coordinator.beginTerm(m_share.fleetSize(), now);
    if (!coordinates && m_coordinates)
        m_coordinator.endTerm();
    if (coordinates != m_coordinates || holds != m_heldDuty)
        m_lines.write(log_level::Info, "coordinates",
            { { "on", coordinates }, { "lease", holds }, { "gateways", m_share.fleetSize() } }, now);
    m_coordinates = coordinates;
    m_heldDuty = holds;
    m_coordinator.setInterimFleetSize(m_isInterim ? std::max(m_share.fleetSize(), 1U) : 0, now);
}

std::optional<fleet_news> gateway::answerReport(fleet_report report)
{
    onDuty();
    if (!m_coordinates)
        return std::nullopt;
    // All gateways ask for everything at once after a start; those beyond the bounds get it at a later
    // report.
    if (report.wantsAll && !m_coordinator.admitFullUpdate(m_reports.unwrittenBytes(), monotonicNow()))
        report.isOnlyCredit = true;
    auto news = m_coordinator.onReport(report, monotonicNow());
    if (report.hasUnplaced())
        m_orders.runPass();
    news.isInterim = m_isInterim;
    if (report.isOnlyCredit || m_isInterim)
        return news;
    news.successor = m_coordinator.chooseSuccessor(m_settings.name, monotonicNow());
    if (const auto proof = m_follower.configProof()) {
        const auto age = std::chrono::duration_cast<milliseconds>(suspendedNow() - proof->second);
        news.proof = config_proof { static_cast<std::uint32_t>(age.count()), proof->first };
    }
    news.leaseHolder = m_follower.lease().record().holder;
    news.leaseEnd = m_follower.lease().record().end;
    return news;
}

void gateway::drain()
{
    if (m_relay.isDraining())
        return;
    const monotonic_time now = monotonicNow();
    m_drainEnds = now + m_settings.grace - endReserve;
    m_drainLeast = now + std::min(leastDrain, m_settings.grace / 2);
    m_lines.write(log_level::Info, "draining", { { "name", m_settings.name } }, now);
    m_relay.drain();
    m_follower.resign();
    m_coordinates = false;
    m_coordinator.endTerm();
    drainStep();
}

void gateway::drainStep()
{
    const monotonic_time now = monotonicNow();
    if (now >= m_drainLeast)
        m_relay.closeToRequests();
    m_idleSteps = m_relay.isIdle() ? m_idleSteps + 1 : 0;
    if (now < m_drainEnds && (now < m_drainLeast || m_idleSteps < idleStepsToEnd)) {
        m_drainTimer.start(drainStepPause);
        return;
    }
    m_lines.write(
        log_level::Info, "stopped", { { "name", m_settings.name }, { "idle", m_relay.isIdle() } }, now);
    m_loop.stop();
}

void gateway::reload(const std::function<gateway_settings()>& read)
{
    try {
        const gateway_settings next = read();
        const auto kept = settingsNeedingRestart(m_settings, next);
        m_settings.grace = next.grace;
        m_settings.revocationBound = next.revocationBound;
        m_settings.retryRatio = next.retryRatio;
        m_settings.retrySlack = next.retrySlack;
        m_settings.level = next.level;
        m_lines.setLevel(next.level);
        m_relay.setOptions(relayOptions());
        m_lines.write(kept.empty() ? log_level::Info : log_level::Warning, "reloaded",
            { { "name", m_settings.name }, { "kept_until_restart", join(kept, ", ") } }, monotonicNow());
    } catch (const std::exception& error) {
        m_lines.write(log_level::Error, "reload_failed",
            { { "error", error.what() }, { "kept", "the settings before" } }, monotonicNow());
    }
}

} // namespace sagesaddle
