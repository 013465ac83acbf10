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
class fleet_share {
public:
    /// What it needs of the process.
    struct hooks {
        /// Answers a report in place, where this gateway coordinates itself; nothing where it does not.
        std::function<std::optional<fleet_news>(const fleet_report&)> coordinateHere;
        std::function<bool()> isStoreAway;
        /// The coordinator read the configuration up to an offset, beginning at that time.
        std::function<void(std::uint64_t configEnd, monotonic_time provenAt)> onProof;
        std::function<void(const std::vector<upstream_record>&, bool isWhole)> onListed;
        /// The coordinator told the newest record of its lease.
        std::function<void(const duty_record&)> onLease;
        /// Something is wanted that the coordinator should see to at once.
        std::function<void()> onWanted;
    };

    fleet_share(event_loop& loop, std::string self, relay& relayed, decision_lines& lines, hooks value);

    void start();
    void onConfig(const fleet_config& config);
    /// The gateways that shared the limits, as the lease tells.
    void onKnownGateways(unsigned count);
    /// The coordinator's address, by the lease.
    void onHolder(const address& where);
    /// \return whether a coordinator answered lately.
    bool hearsCoordinator() const { return !m_isAlone; }
    /// \return whether another gateway coordinates and its evidence of the configuration is recent.
    bool isReadFor() const;

    void askCredit(const relay_exchange_ptr& request);
    void refund(const std::string& team, double tokens);
    void onDemand(const relay_exchange& request);
    void onWanted(const std::string& service, const std::string& model, const std::string& adapter);

private:
    void report();
    void reportSoon();
    fleet_report makeReport(bool isOnlyCredit);
    void addCredit(fleet_report& value);
    /// \return whether a request waits for credit that was not asked for, or for a model or adapter.
    bool isAnythingWanted() const;
    /// Settles what has waited for credit too long.
    void settleOverdue();
    /// The asks that are on their way may be lost: they are made again.
    void forgetAsks();
    /// \return when to report next without a reason to do so sooner.
    milliseconds nextReportPause() const;
    void takeWork(const fleet_news& news);
    void onNews(const fleet_news& news, monotonic_time askedAt);
    void takeList(const fleet_news& news);
    void onLinkLost();
    void setAlone(bool isAlone);
    void settleCredit(const std::string& team, std::optional<milliseconds> retryAfter);
    fleet_pace pace() const { return paceOf(m_gateways); }

    struct asked_report {
        std::uint64_t number { 0 };
        monotonic_time sentAt {};
    };

    struct waiting_credit {
        relay_exchange_ptr request;
        monotonic_time since {};
        /// A report that asks for it is on its way.
        bool isAsked { false };
    };

    event_loop& m_loop;
    std::string m_self;
    relay& m_relay;
    decision_lines& m_lines;
    hooks m_hooks;
    credit_purse m_purse;
    std::unique_ptr<coordinator_link> m_link;
    std::unique_ptr<coordinator_link> m_lostLink;
    timer m_reportTimer;
    std::map<std::string, std::list<waiting_credit>> m_waiting;
    std::map<std::string, demand_count> m_demand;
    std::list<asked_report> m_asked;
    /// Upstreams by their number in the coordinator's list.
    std::vector<std::string> m_numbered;
    monotonic_time m_fullReportAt {};
    std::uint64_t m_number { 0 };
    unsigned m_gateways { 1 };
    monotonic_time m_newsAt {};
    monotonic_time m_linkedAt {};
    monotonic_time m_toldProofAt {};
    bool m_isAlone { true };
    /// Nothing was told on the link yet.
    bool m_wantsAll { true };
};

} // namespace sagesaddle
