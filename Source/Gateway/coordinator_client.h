#pragma once

#include "Fleet/duty_lease.h"
#include "Fleet/fleet_pace.h"
#include "Gateway/coordinator.h"
#include "Gateway/fleet_link.h"
#include "Limit/credit_purse.h"
#include "Loop/timer.h"
#include "Relay/relay.h"

#include <list>

namespace sagesaddle {

/// \brief This gateway's part in the fleet: reports to the coordinator, credit, and news for the relay.
class coordinator_client {
public:
    /// What it needs of the process.
    struct hooks {
        /// Answers a report in place, where this gateway coordinates itself; nothing where it does not.
        std::function<std::optional<fleet_news>(const fleet_report&)> answerLocally;
        std::function<bool()> isStoreUnreachable;
        /// The coordinator read the configuration up to an offset, beginning at that time.
        std::function<void(std::uint64_t configEnd, monotonic_time confirmedAt)> onConfigConfirmation;
        std::function<void(const std::vector<upstream_record>&, bool isWhole)> onUpstreamRecords;
        /// The coordinator told the newest record of its lease.
        std::function<void(const duty_record&)> onLeaseRecord;
        /// Something is wanted that the coordinator should see to at once.
        std::function<void()> onWanted;
        /// Another gateway is to take the lease first, or this one.
        std::function<void(bool isSuccessor)> onSuccessorKnown;
    };

    /// \param member the gateway's name in the lease, where its host is fit to coordinate; else empty
    coordinator_client(event_loop& loop, std::string self, std::string member, relay& relayed,
        decision_lines& lines, hooks value);

    void start();
    void onConfig(const fleet_config& config);
    /// The gateways that shared the limits, as the lease tells.
    void onGatewayCountFromLease(unsigned count);
    /// The coordinator's address, by the lease.
    /// \param leaseEnd offset behind the record that names it
    void onLeaseHolder(const address& where, std::uint64_t leaseEnd);
    /// \return whether this gateway was named the next coordinator and the one before fell silent: then it
    /// grants the shares of those that report to it, until someone holds the lease.
    bool isInterimDue() const;
    /// \return gateways that share the limits, as last told.
    unsigned gatewayCount() const { return m_gateways; }
    /// \return whether a coordinator answered lately.
    bool hearsCoordinator() const { return !m_isCoordinatorLost; }
    /// \return whether another gateway coordinates and its evidence of the configuration is recent.
    bool hasRecentConfirmation() const;

    void askCredit(const relay_exchange_ptr& request);
    void refund(const std::string& team, double tokens);
    void onDemand(const relay_exchange& request);
    void onWanted(const std::string& service, const std::string& model, const std::string& adapter);

private:
    void sendReport();
    void scheduleReport();
    fleet_report buildReport(bool isOnlyCredit);
    void addCreditRequests(fleet_report& value);
    /// \return whether a request waits for credit that was not asked for, or for a model or adapter.
    bool hasUrgentRequest() const;
    /// Settles what has waited for credit too long.
    void rejectOverdueRequests();
    /// The asks that are on their way may be lost: they are made again.
    void resetUnansweredRequests();
    /// \return when to report next without a reason to do so sooner.
    milliseconds nextReportInterval() const;
    void applyWork(const fleet_news& news);
    void onNews(const fleet_news& news, monotonic_time askedAt);
    void applyList(const fleet_news& news);
    void onLinkLost();
    void setCoordinatorLost(bool isLost);
    /// Gives up a coordinator that fell silent, and goes on with the next.
    void updateCoordinatorLink(monotonic_time now);
    /// Connects to the one that coordinates next, where that is known.
    void tryConnectSuccessor(monotonic_time now);
    void connect(const address& where);
    /// \return whether the one that coordinates next grants credit meanwhile.
    bool hearsInterimCoordinator(monotonic_time now) const;
    /// \return whether an ask for credit may be answered soon.
    bool mayRequestCredit(monotonic_time now) const;
    void serveWaitingRequests(const std::string& team, std::optional<milliseconds> retryAfter);
    fleet_pace pace() const { return paceOf(m_gateways); }

    struct sent_report {
        std::uint64_t number { 0 };
        monotonic_time sentAt {};
    };

    struct waiting_request {
        relay_exchange_ptr request;
        monotonic_time waitingSince {};
        /// A report that asks for it is on its way.
        bool isRequested { false };
    };

    event_loop& m_loop;
    std::string m_name;
    std::string m_member;
    relay& m_relay;
    decision_lines& m_lines;
    hooks m_hooks;
    credit_purse m_purse;
    std::unique_ptr<coordinator_link> m_link;
    std::unique_ptr<coordinator_link> m_lostLink;
    timer m_reportTimer;
    std::map<std::string, std::list<waiting_request>> m_waiting;
    std::map<std::string, demand_count> m_demand;
    std::list<sent_report> m_unansweredReports;
    /// Upstreams by their number in the coordinator's list.
    std::vector<std::string> m_upstreamsByNumber;
    monotonic_time m_fullReportAt {};
    std::uint64_t m_lastReportNumber { 0 };
    std::uint64_t m_linkCount { 0 };
    unsigned m_gateways { 1 };
    monotonic_time m_lastNewsAt {};
    monotonic_time m_connectedAt {};
    monotonic_time m_remoteConfirmedAt {};
    /// Name in the lease of the one that coordinates next.
    std::string m_successor;
    monotonic_time m_successorTriedAt {};
    monotonic_time m_lastInterimNewsAt {};
    /// When the link to the coordinator was cut; a cut tells sooner than silence.
    std::optional<monotonic_time> m_disconnectedAt;
    /// News came on the link.
    bool m_hasLinkAnswered { false };
    /// A peer whose link broke and that is tried once more.
    std::optional<address> m_retryPeer;
    /// The coordinator that fell silent, and the lease's record that named it.
    address m_silentPeer;
    std::uint64_t m_silentLeaseEnd { 0 };
    std::uint64_t m_holderLeaseEnd { 0 };
    bool m_isCoordinatorLost { true };
    /// Nothing was told on the link yet.
    bool m_wantsAll { true };
};

} // namespace sagesaddle
