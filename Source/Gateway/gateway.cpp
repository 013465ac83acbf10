#include "Gateway/gateway.h"

#include "Base/http_status.h"
#include "Base/join.h"
#include "Gateway/member_name.h"
#include "Relay/quarantine_log.h"
#include "caller_wire.h"

#include <algorithm>
#include <csignal>
#include <unistd.h>

namespace sagesaddle {

namespace {

// Part of the revocation bound for which the configuration may go without a new confirmation. The rest
// covers the time that a request takes here and the check before each send.
constexpr double maxConfigAgeFraction = 0.86;
// Time without a renewal after which another gateway acquires the lease; three renewals may be lost within
// it.
constexpr milliseconds leaseTimeToLive { 1700 };
// How much earlier than the others' timeout the holder stops acting on its lease.
constexpr milliseconds leaseMargin { 250 };
constexpr milliseconds leaseRenewalInterval { 500 };
// Time beyond the handover pause from acquiring the lease to the first order, for orders of the previous
// holder that are still in transit.
constexpr milliseconds orderTransitTime { 300 };
// Time between two passes over the engines.
constexpr milliseconds orderPassInterval { 50 };
// Part of the fleet's bound on retries that is used; the rest covers gateways that come and go.
constexpr double retryFraction = 0.6;
constexpr milliseconds drainCheckInterval { 50 };
// Consecutive checks that must find the relay idle before the exit, so that callers have read the last
// answers.
constexpr int idleChecksToStop = 4;
// Descriptors reserved for files, peers and upstreams. Each caller may need one upstream connection as well.
constexpr std::int64_t reservedDescriptors = 400;
// A host below these coordinates only where no other does: each report costs about 0.1 ms of a core and 2
// KB.
constexpr double minCoordinatorCores = 0.15;
constexpr double minCoordinatorLinkMbps = 50;
constexpr milliseconds weakHostAcquireDelay { 700 };

bool isFitToCoordinate(const gateway_settings& settings)
{
    return settings.cores >= minCoordinatorCores && settings.linkMbps >= minCoordinatorLinkMbps;
}

} // namespace

gateway::gateway(event_loop& loop, gateway_settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_member(makeMemberName(m_settings.peerListenAddress))
    , m_lines(STDOUT_FILENO, m_settings.level)
    , m_telemetry { m_lines, m_metrics }
    , m_relay(loop, relayOptions(), m_telemetry,
          { [this](const relay_exchange_ptr& request) { m_client.requestCredit(request); },
              [this](const std::string& team, double tokens) { m_client.refund(team, tokens); },
              [this](const std::string& service, const std::string& model, const std::string& adapter) {
                  m_client.onModelMissing(service, model, adapter);
              },
              [this](const relay_exchange& request) { m_client.recordDemand(request); },
              [this] { return m_client.requestSendCredit(); }, [this] { m_client.reportCrash(); } })
    , m_storeFollower(loop, m_settings.storeAddress, m_member, memberNamePrefix(m_settings.peerListenAddress),
          lease_times { leaseTimeToLive, leaseMargin, leaseRenewalInterval,
              m_settings.handoverPause + orderTransitTime,
              isFitToCoordinate(m_settings) ? milliseconds(0) : weakHostAcquireDelay },
          m_lines,
          { [this](const fleet_config_ptr& config) {
               m_coordinator.onConfig(*config, monotonicNow());
               m_client.onConfig(*config);
               m_relay.onConfig(config);
           },
              [this](const std::map<std::string, upstream_entry>& entries) {
                  m_coordinator.onUpstreams(m_storeFollower.upstreams(), monotonicNow());
                  if (const auto cold = m_coordinator.takeColdBroadcast(monotonicNow()))
                      m_reportServer.broadcast(*cold);
                  m_orderSender.onUpstreams(entries);
                  m_relay.onUpstreams(entries);
              },
              [this](monotonic_time confirmedAt) { m_relay.onConfigConfirmed(confirmedAt); },
              [this] { updateCoordination(); },
              [this](const std::string& member, std::uint64_t leaseEnd) {
                  m_client.onLeaseHolder(addressOfMember(member), leaseEnd);
              },
              [this] { return m_client.hasLiveCoordinator(); },
              [this] { return m_client.hasRecentConfirmation(); },
              [this] { return m_coordinator.knownGatewayCount(monotonicNow()); },
              [this](unsigned count) { m_client.onGatewayCountFromLease(count); },
              [this](const evacuated_zones& evacuated) {
                  m_coordinator.onEvacuations(evacuated);
                  m_relay.onEvacuations(evacuated.zones);
              } })
    , m_orderSender(
          loop, m_coordinator, m_settings.name,
          [this]() -> const coordinator_lease& { return m_storeFollower.lease(); }, m_lines, m_metrics)
    , m_client(loop, m_settings.name, isFitToCoordinate(m_settings) ? m_member : std::string(), m_relay,
          m_telemetry,
          { [this](const fleet_report& report) { return answerReport(report); },
              [this] { return m_storeFollower.isStoreSilent(); },
              [this] { return m_storeFollower.isStoreUnreachable(); },
              [this](std::uint64_t configEnd, monotonic_time confirmedAt) {
                  m_storeFollower.onRemoteConfirmation(configEnd, confirmedAt);
              },
              [this](const std::vector<upstream_record>& records, bool isWhole) {
                  m_storeFollower.onRemoteUpstreams(records, isWhole);
              },
              [this](const coordinator_lease_record& record) { m_storeFollower.onRemoteLeaseRecord(record); },
              [this] { m_orderSender.runPass(); },
              [this](bool isSuccessor) { m_storeFollower.setPreferred(isSuccessor); },
              [this](const evacuated_zones& told) { m_storeFollower.onRemoteEvacuations(told); } })
    , m_reportServer(loop, m_settings.peerListenAddress,
          [this](fleet_report report) { return answerReport(std::move(report)); })
    , m_readinessServer(loop, m_settings.readinessListenAddress,
          [this](const http_head& head) -> status_server::reply {
              if (!platform::isReadinessProbe(head))
                  return { statusNotFound, {}, {} };
              return { m_relay.isReady() ? statusOk : statusUnavailable, {}, {} };
          })
    , m_orderTimer(loop,
          [this] {
              m_orderTimer.start(orderPassInterval);
              m_orderSender.runPass();
          })
    , m_drainTimer(loop, [this] { continueDrain(); })
    , m_callerListener(
          loop, m_settings.callerListenAddress, [this](evutil_socket_t socket) { m_relay.accept(socket); })
{
    if (m_settings.metricsListenAddress)
        m_metricsServer = std::make_unique<status_server>(
            loop, *m_settings.metricsListenAddress, [this](const http_head&) -> status_server::reply {
                return { statusOk, metric_registry::contentType, m_metrics.serialize() };
            });
    m_lines.write(log_level::Info, "started",
        { { "name", m_settings.name }, { "zone", m_settings.zone }, { "member", m_member } }, monotonicNow());
    m_storeFollower.start();
    m_client.start();
    m_orderTimer.start(orderPassInterval);
}

relay_options gateway::relayOptions() const
{
    relay_options options;
    options.zone = m_settings.zone;
    options.learnsUpstreamSpeed = m_settings.hasUnsteadyUpstreams;
    options.maxConfigAge = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(m_settings.revocationBound.count()) * maxConfigAgeFraction));
    options.retriesPerRequest = m_settings.retryRatio * retryFraction;
    options.retrySlack = m_settings.retrySlack * retryFraction;
    options.maxCallers = static_cast<std::size_t>(
        std::max<std::int64_t>(16, (m_settings.descriptors - reservedDescriptors) / 2));
    options.callerMemoryBytes = caller_memory::budgetFor(m_settings.memoryMegabytes);
    return options;
}

void gateway::updateCoordination()
{
    const bool holdsLease = m_storeFollower.lease().holds(bootTimeNow());
    const monotonic_time now = monotonicNow();
    if (holdsLease)
        m_outlasting.onLeaseHeld(bootTimeNow());
    // The store answers no gateway, so nobody can renew or acquire the lease. The fence is 0 once this
    // process learned of another holder, or that the store returned from an older copy.
    const bool mayOutliveLease = !holdsLease && m_isCoordinating && !m_isInterim && !m_relay.isDraining()
        && m_storeFollower.lease().fence() != 0
        && m_outlasting.mayGoOn(
            m_coordinator.storeSilence(m_storeFollower.isStoreSilent(), now), bootTimeNow());
    m_isInterim = !holdsLease && !mayOutliveLease && !m_relay.isDraining() && m_client.isInterimDue();
    const bool isCoordinating = holdsLease || mayOutliveLease || m_isInterim;
    if (isCoordinating && !m_isCoordinating) {
        m_coordinator.beginTerm(m_client.gatewayCount(), now);
        // What this gateway reported went to another coordinator.
        m_relay.quarantine().onReportsLost();
    }
    if (!isCoordinating && m_isCoordinating)
        m_coordinator.endTerm();
    if (isCoordinating != m_isCoordinating || holdsLease != m_heldLease)
        m_lines.write(log_level::Info, "coordinates",
            { { "on", isCoordinating }, { "lease", holdsLease }, { "gateways", m_client.gatewayCount() } },
            now);
    m_isCoordinating = isCoordinating;
    m_heldLease = holdsLease;
    m_coordinator.setInterimGatewayCount(m_isInterim ? std::max(m_client.gatewayCount(), 1U) : 0, now);
}

std::optional<fleet_update> gateway::answerReport(fleet_report report)
{
    updateCoordination();
    if (!m_isCoordinating)
        return std::nullopt;
    // After a start all gateways ask for full updates at once; those beyond the limit get theirs with a
    // later report.
    if (report.wantsFullUpdate
        && !m_coordinator.admitFullUpdate(m_reportServer.unwrittenBytes(), monotonicNow()))
        report.isOnlyCredit = true;
    auto update = m_coordinator.onReport(report, monotonicNow());
    for (const auto& decision : m_coordinator.takeQuarantineDecisions())
        logQuarantine(decision, "coordinator", m_lines, monotonicNow());
    if (const auto told = m_coordinator.takeQuarantineBroadcast(monotonicNow())) {
        m_reportServer.broadcast(*told);
        m_relay.onQuarantineTold(*told);
    }
    if (report.hasUnplaced())
        m_orderSender.runPass();
    update.isInterim = m_isInterim;
    if (report.isOnlyCredit || m_isInterim)
        return update;
    update.successor = m_coordinator.chooseSuccessor(m_settings.name, monotonicNow());
    if (const auto confirmation = m_storeFollower.configConfirmation()) {
        const auto age = std::chrono::duration_cast<milliseconds>(bootTimeNow() - confirmation->second);
        update.confirmation
            = config_confirmation { static_cast<std::uint32_t>(age.count()), confirmation->first };
    }
    update.leaseHolder = m_storeFollower.lease().record().holder;
    update.leaseEnd = m_storeFollower.lease().record().end;
    return update;
}

void gateway::drain()
{
    if (m_relay.isDraining())
        return;
    const monotonic_time now = monotonicNow();
    m_drain = drain_schedule(now, m_settings.grace);
    m_lines.write(log_level::Info, "draining", { { "name", m_settings.name } }, now);
    m_relay.drain(*m_drain);
    m_storeFollower.resign();
    m_isCoordinating = false;
    m_coordinator.endTerm();
    continueDrain();
}

void gateway::continueDrain()
{
    const monotonic_time now = monotonicNow();
    m_idleChecks = m_relay.isIdle() ? m_idleChecks + 1 : 0;
    if (now < m_drain->exitAt() && (now < m_drain->admissionEnd() || m_idleChecks < idleChecksToStop)) {
        m_drainTimer.start(drainCheckInterval);
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
            { { "error", error.what() }, { "kept", "the previous settings" } }, monotonicNow());
    }
}

} // namespace sagesaddle
