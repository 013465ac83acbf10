#pragma once

#include "Fleet/fleet_config.h"
#include "Fleet/fleet_timing.h"
#include "Fleet/lease_outlasting.h"
#include "Fleet/loaded_models_history.h"
#include "Fleet/pace_table.h"
#include "Fleet/upstream_list.h"
#include "Limit/cold_limits.h"
#include "Limit/token_buckets.h"
#include "Limit/upstream_limits.h"
#include "Place/engine_model_tracker.h"
#include "Plan/model_order_planner.h"
#include "Quarantine/crash_evidence.h"
#include "Wire/fleet_messages.h"

#include <map>
#include <unordered_map>

namespace sagesaddle {

/// \brief State of the coordinating gateway: answers the gateways' reports and plans orders for engines.
///
/// No I/O and no clock; not thread-safe. Memory grows with the number of gateways and of upstreams that they
/// use.
/// Each report gets exactly one answer, which carries what changed since the previous answer to that gateway.
class coordinator {
public:
    /// Applies the teams and engines of a configuration.
    void onConfig(const fleet_config& config, monotonic_time now);

    /// Begins a term as coordinator. Token buckets start half full, since credit that an earlier coordinator
    /// granted may still be spent.
    /// \param expectedGateways number of gateways that shared the limits before, as far as known; those that
    /// do not report may still be running
    void beginTerm(unsigned expectedGateways, monotonic_time now);

    /// Sets whether credit is granted under the lease or as interim coordinator. Entering the interim state
    /// empties the token buckets: the silent coordinator may still be running and may have granted
    /// everything. An interim coordinator grants only the shares of the gateways that report to it.
    /// \param gatewayCount 0 while this gateway holds the lease; otherwise the number of gateways that share
    /// the limits
    void setInterimGatewayCount(unsigned gatewayCount, monotonic_time now);

    /// Chooses the gateway that is to coordinate next. A gateway once chosen stays the successor while it
    /// reports.
    /// \param self name of the gateway that coordinates
    /// \return the successor's name in the lease; empty where no gateway is fit
    std::string chooseSuccessor(const std::string& self, monotonic_time now);

    /// Ends a term and drops the state that only a coordinator needs.
    void endTerm();

    /// Answers a report with the credit granted and what changed since the last answer to that gateway.
    fleet_update onReport(const fleet_report& report, monotonic_time now);

    /// Limits the rate of full updates, which tell a gateway everything. After a start all gateways ask for
    /// one at once; without the limit the answers would take longer than the gateways wait, and they would
    /// connect and ask again.
    /// \param unwrittenBytes bytes of answers that gateways have not read yet
    /// \return whether a full update may be sent now; if so, it is counted as sent
    bool admitFullUpdate(std::size_t unwrittenBytes, monotonic_time now);

    /// \return whether every gateway that reported within the last 20 s still reports and cannot reach the
    /// store. No gateway can take the lease then, so credit may be granted after the lease has expired.
    bool isStoreUnreachableFromAll(monotonic_time now) const;
    /// \return what the gateways' reports show about the store.
    /// \param isOwnStoreSilent whether the store answers none of this process's calls
    store_silence storeSilence(bool isOwnStoreSilent, monotonic_time now) const;

    /// Applies the list of upstreams. During a term, each listed engine then has exactly one model tracker.
    /// \param list the platform's list as known to this gateway
    void onUpstreams(const upstream_list& list, monotonic_time now);

    /// Applies the evacuated zones: their engines get no orders, and gateways are told of them.
    void onEvacuations(const evacuated_zones& evacuated);

    /// \return whether an upstream is listed in an evacuated zone, so that it must be sent nothing.
    bool isEvacuated(const std::string& upstream) const;

    /// \return the model trackers of the listed engines, by the upstream's id; empty outside a term.
    std::map<std::string, engine_model_tracker>& trackers() { return m_trackers; }

    /// \return the orders to send to engines now.
    std::vector<planned_model_order> plan(monotonic_time now);
    /// Counts a load against the service's rate of loads from the weight store.
    void onModelOrdered(const std::string& service, monotonic_time now);

    /// Debits a call of the coordinator's own to an upstream that states a request limit or is cold.
    /// \return whether it may be sent; always true without a limit
    bool trySpendSend(const std::string& upstream, monotonic_time now)
    {
        return m_upstreamLimits.trySpend(upstream, now);
    }

    /// \return the quarantines of prompt parts that were decided since the last call.
    std::vector<quarantine_decision> takeQuarantineDecisions();

    /// \return what to tell all gateways at once, since quarantines must not wait for their next reports;
    /// nothing if nothing changed
    std::optional<quarantine_update> takeQuarantineBroadcast(monotonic_time now);

    /// \return the upstreams in use that turned cold since the last call, to tell all gateways at once, since
    /// they would exceed the limit until their next reports; nothing if none did
    std::optional<list_update> takeColdBroadcast(monotonic_time now);

    /// \return the number of gateways that reported within the last 20 s.
    std::uint32_t knownGatewayCount(monotonic_time now) const;

private:
    /// Crashes without an answer that a prompt part needs to be quarantined.
    static constexpr unsigned minCrashesOfPart = 4;

    struct gateway_state {
        /// Work of this gateway, by the upstream's number.
        std::map<std::uint16_t, upstream_work> work;
        monotonic_time reportedAt {};
        bool isStoreUnreachable { false };
        /// Name in the lease; empty where the gateway's host is not fit to coordinate.
        std::string member;
        /// Stamp of the newest change of loaded models that was sent to this gateway.
        std::uint64_t sentLoadedModelsStamp { 0 };
        /// Other gateways' work as last sent to this one, by the upstream's number.
        std::vector<peer_work> sentWork;
        /// Revision of the upstreams' request limits that was sent to this gateway.
        std::uint64_t sentLimitRevision { 0 };
        /// Revision of the list of upstreams that was sent to this gateway.
        std::uint64_t sentListRevision { 0 };
        /// Revision of the crash evidence whose quarantines were sent to this gateway.
        std::uint64_t sentQuarantineRevision { 0 };
        /// Revision of the upstreams' time factors that was sent to this gateway.
        std::uint64_t sentPaceRevision { 0 };
        /// Revision of the evacuated zones that was sent to this gateway.
        std::uint64_t sentEvacuationRevision { 0 };
    };

    /// A listed upstream with the list revision of its last change.
    struct versioned_upstream {
        upstream_entry entry;
        std::uint64_t offset { 0 };
        std::uint64_t revision { 0 };
        /// Kept after its removal until every gateway was told.
        bool isRemoved { false };
        std::uint16_t number { 0 };
    };

    /// Changes of the models loaded at an engine.
    struct tracker_history {
        /// One more than the revision of the engine's model tracker that was recorded last; 0 before the
        /// first.
        std::uint64_t revision { 0 };
        loaded_models_history loadedModels;
    };

    /// \return the timing of the protocol for the number of gateways that report.
    fleet_timing timing() const;
    /// Drops the work of gateways that stopped reporting, and later the gateways themselves.
    void expireSilentGateways(monotonic_time now);
    /// \return the number of gateways whose last report is recent.
    unsigned recentGatewayCount(monotonic_time now) const;
    /// \return the part of each team's rate that may be granted here, from 0 to 1; gateways that do not
    /// report spend the rest.
    double grantableShare(monotonic_time now) const;
    void replaceWork(gateway_state& from, const std::vector<upstream_work>& work);
    /// Records which engines' loaded models changed.
    void updateTrackerHistories(monotonic_time now);
    void addWorkChanges(gateway_state& to, fleet_update& update) const;
    void addLoadedModelsChanges(gateway_state& to, fleet_update& update) const;
    void addTimeFactors(
        gateway_state& to, const fleet_report& report, fleet_update& update, monotonic_time now);
    /// \return the upstream's entry without its loaded models.
    static listed_upstream describeListed(const versioned_upstream& upstream, monotonic_time now);
    void addListChanges(gateway_state& to, fleet_update& update, monotonic_time now) const;
    /// Applies the limits of the upstreams that are cold now.
    void applyColdLimits(monotonic_time now);
    /// Sets the part of all limits that may be granted here.
    void updateGrantableShare(monotonic_time now);
    void addTeamCredit(const fleet_report& report, fleet_update& update, monotonic_time now);
    void addSendCredit(const fleet_report& report, fleet_update& update, monotonic_time now);
    quarantine_update describeQuarantine(monotonic_time now) const;
    void addQuarantine(
        gateway_state& to, const quarantine_report& report, fleet_update& update, monotonic_time now);
    void createMissingTrackers();
    /// Drops an engine's model tracker and its history, so that all its loaded models are sent again.
    void dropTracker(const std::string& upstream, std::uint16_t number);
    /// \return the number that stands for an upstream in answers, assigned on the first call; an upstream
    /// that is listed again keeps its number.
    std::uint16_t numberFor(const std::string& upstream);
    /// Forgets the removed upstreams whose removal every gateway was told of, and frees their numbers.
    void releaseRemovedUpstreams();

    bool m_isActive { false };
    unsigned m_interimGatewayCount { 0 };
    unsigned m_expectedGateways { 0 };
    monotonic_time m_termBegunAt {};
    /// Key in m_gateways of the gateway that was chosen as successor.
    std::string m_successor;
    token_buckets m_buckets;
    upstream_limits m_upstreamLimits;
    pace_table m_paces;
    cold_limits m_coldLimits;
    /// Upstreams that turned cold, to be told to all gateways.
    std::vector<std::string> m_turnedCold;
    crash_evidence m_crashEvidence { minCrashesOfPart };
    monotonic_time m_quarantineDecidedAt {};
    std::vector<quarantine_decision> m_quarantineDecisions;
    std::uint64_t m_broadcastRevision { 1 };
    std::uint64_t m_broadcastQuarantineRevision { 1 };
    monotonic_time m_broadcastAt {};
    demand_meter m_demand;
    std::vector<rate_limit> m_teamLimits;
    std::map<std::string, engine_config_ptr> m_engines;
    std::map<std::string, versioned_upstream> m_upstreams;
    std::uint64_t m_listRevision { 0 };
    std::unordered_map<std::string, std::uint16_t> m_numbers;
    std::vector<std::uint16_t> m_freeNumbers;
    evacuated_zones m_evacuated;
    std::uint64_t m_evacuationRevision { 0 };
    /// Work of all gateways together, by the upstream's number.
    std::vector<upstream_work> m_totalWork;
    std::map<std::string, engine_model_tracker> m_trackers;
    /// By the upstream's number.
    std::vector<tracker_history> m_trackerHistories;
    std::uint64_t m_newestLoadedModelsStamp { 0 };
    monotonic_time m_historiesUpdatedAt {};
    monotonic_time m_fullUpdateAt {};
    std::map<std::string, model_order_planner> m_planners;
    /// By the gateway's name.
    std::map<std::string, gateway_state> m_gateways;
};

} // namespace sagesaddle
