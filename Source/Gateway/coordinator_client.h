#pragma once

#include "Fleet/coordinator_lease.h"
#include "Fleet/fleet_timing.h"
#include "Gateway/coordinator.h"
#include "Gateway/fleet_connections.h"
#include "Limit/credit_cache.h"
#include "Limit/credit_wait.h"
#include "Loop/timer.h"
#include "Relay/relay.h"

#include <list>

namespace sagesaddle {

/// \brief A gateway's side of the protocol with the coordinator.
///
/// Reports this gateway's work and demand, requests credit for the teams' limits, passes the coordinator's
/// answers on to the relay and the store follower, and connects to the next coordinator when one fails.
class coordinator_client {
public:
    /// Calls into the rest of the process.
    struct hooks {
        /// Answers a report in this process, where this gateway coordinates; returns nothing where it does
        /// not.
        std::function<std::optional<fleet_update>(const fleet_report&)> answerLocally;
        std::function<bool()> isStoreSilent;
        std::function<bool()> isStoreUnreachable;
        /// The coordinator read the configuration up to that offset, in a read sent at that time.
        std::function<void(std::uint64_t configEnd, monotonic_time confirmedAt)> onConfigConfirmation;
        /// The coordinator sent changes of the list of upstreams, or the whole list.
        std::function<void(const std::vector<upstream_record>&, bool isWhole)> onUpstreamRecords;
        /// The coordinator sent the newest record of the lease.
        std::function<void(const coordinator_lease_record&)> onLeaseRecord;
        /// A report that was answered in this process names requests that no upstream could take.
        std::function<void()> onUnplacedRequests;
        /// The coordinator named the gateway that is to take the lease next.
        /// \param isSuccessor whether it is this gateway, or none was named
        std::function<void(bool isSuccessor)> onSuccessorKnown;
        /// The coordinator told which zones are evacuated.
        std::function<void(const evacuated_zones&)> onEvacuationsTold;
    };

    /// \param name the gateway's name in reports
    /// \param member the gateway's name in the lease; empty where its host is not fit to coordinate
    coordinator_client(event_loop& loop, std::string name, std::string member, relay& relayed,
        const relay_telemetry& telemetry, hooks value);

    void start();
    void onConfig(const fleet_config& config);
    /// Sets the number of gateways that share the limits, as read from the lease; used until a coordinator
    /// answers.
    void onGatewayCountFromLease(unsigned count);
    /// Connects to the holder of the lease.
    /// \param leaseEnd offset behind the lease record that names the holder
    void onLeaseHolder(const address& where, std::uint64_t leaseEnd);
    /// \return whether this gateway was named as successor and the coordinator fell silent. It then acts as
    /// interim coordinator: it grants the shares of the gateways that report to it, until a gateway holds the
    /// lease.
    bool isInterimDue() const;
    /// \return the number of gateways that share the limits, as last told by a coordinator.
    unsigned gatewayCount() const { return m_gatewayCount; }
    /// \return whether another gateway answered recently as coordinator.
    bool hasLiveCoordinator() const { return !m_isCoordinatorLost && !m_isOwnNews; }
    /// \return whether another gateway coordinates and recently confirmed the configuration.
    bool hasRecentConfirmation() const;

    /// Requests credit for a request; relay_exchange::onCreditDecision follows, at once or later.
    void requestCredit(const relay_exchange_ptr& request);
    /// Takes back the tokens of a request that did not run.
    void refund(const std::string& team, double tokens);
    /// Requests the credit that the relay wants for upstreams with a request limit.
    /// \return whether it may be granted soon
    bool requestSendCredit();
    /// Reports what the relay knows of a crash without delay.
    void reportCrash();
    void recordDemand(const relay_exchange& request);
    /// Reports a request for a model or adapter that no upstream could take; the first one is reported at
    /// once.
    void onModelMissing(const std::string& service, const std::string& model, const std::string& adapter);

private:
    void sendReport();
    /// Sends a report shortly, together with what else comes up until then.
    void scheduleReport();
    fleet_report buildReport(bool isOnlyCredit);
    void addCreditRequests(fleet_report& value);
    /// \return whether a request waits for credit that was not requested yet, or for a model or adapter.
    bool hasUrgentRequest() const;
    /// Serves waiting requests from the fallback allowance, and refuses those that can wait no longer.
    void updateWaitingRequests();
    coordination_state coordinationState() const;
    std::size_t waitingRequestCount() const;
    /// Forgets the reports without an answer, which may be lost; credit is requested again.
    void resetUnansweredRequests();
    /// \return the time to the next report, unless something urgent comes first.
    milliseconds nextReportInterval() const;
    void applyWork(const fleet_update& update);
    void applyUpstreamLimits(const fleet_update& update, monotonic_time grantedAt);
    void setFallbackActive(bool isActive, monotonic_time now);
    void setGatewayCount(unsigned count);
    /// \param askedAt when the report was sent, on the clock that counts suspension; zero where it was
    /// answered in this process
    void onUpdate(const fleet_update& update, monotonic_time askedAt);
    /// \param isWhole whether upstreams that are not listed are removed
    void applyList(const std::vector<listed_upstream>& listed, bool isWhole);
    void onConnectionLost();
    void setCoordinatorLost(bool isLost);
    /// Drops the connection to a silent coordinator and connects to the next one.
    void updateCoordinatorConnection(monotonic_time now);
    /// Connects to the successor, where one was named, at most once in an interval.
    void tryConnectSuccessor(monotonic_time now);
    void connect(const address& where);
    /// \return whether an interim coordinator answered recently.
    bool hasLiveInterimCoordinator(monotonic_time now) const;
    /// \return whether a request for credit is likely to be answered soon.
    bool mayRequestCredit(monotonic_time now) const;
    /// Spends granted credit on the team's waiting requests, oldest first.
    /// \param retryAfter where less than needed was granted: the other requests are refused with it
    void serveWaitingRequests(const std::string& team, std::optional<milliseconds> retryAfter);
    fleet_timing timing() const { return fleetTimingFor(m_gatewayCount); }

    struct sent_report {
        std::uint64_t number { 0 };
        monotonic_time sentAt {};
    };

    struct waiting_request {
        relay_exchange_ptr request;
        monotonic_time waitingSince {};
        /// Its credit was requested in a report without an answer yet.
        bool isRequested { false };
        /// It waited for a coordinator, not only for an answer.
        bool hasMissedCoordinator { false };
    };

    struct wait_end {
        waiting_request wait;
        credit_outcome outcome { credit_outcome::Granted };
        std::optional<milliseconds> retryAfter;
    };
    /// Decides about the credit of requests that wait no longer. That may add waiting requests.
    void endWaits(const std::vector<wait_end>& ends);
    /// Takes the requests out of the list for which there is credit, oldest first.
    std::vector<wait_end> takeCredited(const std::string& team, std::list<waiting_request>& waiting);

    event_loop& m_loop;
    std::string m_name;
    std::string m_member;
    relay& m_relay;
    relay_telemetry m_telemetry;
    hooks m_hooks;
    credit_cache m_creditCache;
    std::unique_ptr<coordinator_connection> m_connection;
    /// The previous connection, kept since its handler may be running.
    std::unique_ptr<coordinator_connection> m_lostConnection;
    timer m_reportTimer;
    /// Requests that wait for credit, by team.
    std::map<std::string, std::list<waiting_request>> m_waiting;
    std::map<std::string, demand_count> m_demand;
    std::list<sent_report> m_unansweredReports;
    /// Upstreams by their number in the coordinator's list.
    std::vector<std::string> m_upstreamsByNumber;
    monotonic_time m_startedAt { monotonicNow() };
    monotonic_time m_fullReportAt {};
    std::uint64_t m_lastReportNumber { 0 };
    std::uint64_t m_connectionCount { 0 };
    unsigned m_gatewayCount { 1 };
    monotonic_time m_lastNewsAt {};
    /// This gateway itself answered its last report as coordinator.
    bool m_isOwnNews { false };
    monotonic_time m_connectedAt {};
    monotonic_time m_remoteConfirmedAt {};
    /// The successor's name in the lease.
    std::string m_successor;
    monotonic_time m_successorTriedAt {};
    monotonic_time m_lastInterimNewsAt {};
    /// When the connection to the coordinator broke, which shows its failure sooner than a timeout.
    std::optional<monotonic_time> m_disconnectedAt;
    /// An answer arrived on the current connection.
    bool m_hasConnectionAnswered { false };
    /// A peer whose connection broke and is tried once more.
    std::optional<address> m_retryPeer;
    /// The coordinator that fell silent, and the end of the lease record that named it.
    address m_silentPeer;
    std::uint64_t m_silentLeaseEnd { 0 };
    std::uint64_t m_holderLeaseEnd { 0 };
    /// No coordinator answered within the timeout, or none has answered yet.
    bool m_isCoordinatorLost { true };
    /// No full update arrived on the current connection yet.
    bool m_wantsFullUpdate { true };
};

} // namespace sagesaddle
