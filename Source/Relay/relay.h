#pragma once

#include "Fleet/config_freshness.h"
#include "Fleet/fleet_timing.h"
#include "Fleet/loaded_models_history.h"
#include "Fleet/route_table.h"
#include "Limit/retry_after_schedule.h"
#include "Limit/send_credit.h"
#include "Limit/standstill_guard.h"
#include "Quarantine/prompt_quarantine.h"
#include "Relay/caller_connection.h"
#include "Relay/caller_memory.h"
#include "Relay/crash_watch.h"
#include "Relay/drain_schedule.h"
#include "Relay/relay_exchange.h"
#include "Relay/relay_telemetry.h"
#include "Route/retry_budget.h"
#include "Route/upstream_choice.h"

#include <array>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <variant>

namespace sagesaddle {

/// \brief Decision to send a request to an upstream.
struct send_decision {
    upstream_state_ptr target;
    double forecastMilliseconds { 0 };
    /// Prompt tokens that the upstream has cached, so that they do not count as unread.
    double cachedTokens { 0 };
};

/// \brief Decision to let a request wait, because the adapter that it needs is being loaded or credit for
/// sending it was requested.
struct wait_decision {
    /// Time until the request is placed again, unless something changes before.
    milliseconds recheck { 10 };
};

/// \brief Decision to refuse a request that has not run.
struct refuse_decision {
    refusal_reason reason;
    std::optional<milliseconds> retryAfter;
};

using relay_choice = std::variant<send_decision, wait_decision, refuse_decision>;

/// \brief Settings of the relay.
struct relay_options {
    /// Availability zone of this gateway.
    std::string zone;
    /// Age of the configuration's confirmation from which requests with API keys are refused.
    milliseconds maxConfigAge { 4300 };
    /// Retries that each request adds to the budget of its service.
    double retriesPerRequest { 0.1 };
    /// Retries that the whole fleet may make in addition; each gateway has an equal part.
    double retrySlack { 5 };
    /// Maximum number of callers' connections; beyond it an idle one is closed, or else the new one.
    std::size_t maxCallers { 3000 };
    /// Whether the speed of each upstream is learned and decides on the choice.
    bool learnsUpstreamSpeed { false };
    /// Memory that callers may make the process hold, in bytes.
    std::size_t callerMemoryBytes { caller_memory::budgetFor(0) };
};

/// \brief Functions through which the relay reaches the rest of the fleet.
struct relay_hooks {
    /// Requests credit of a team; calls relay_exchange::onCreditDecision, either immediately or later.
    std::function<void(const relay_exchange_ptr&)> requestCredit;
    /// Returns the credit of a request that certainly did not run.
    std::function<void(const std::string& team, double tokens)> refund;
    /// Reports that a request needs a model or adapter that no upstream has loaded.
    std::function<void(const std::string& service, const std::string& model, const std::string& adapter)>
        onModelMissing;
    /// Counts a request towards the demand for its model; may be empty.
    std::function<void(const relay_exchange&)> recordDemand;
    /// Requests the credit that sendCredit() wants; returns whether it may be granted soon.
    std::function<bool()> requestSendCredit;
    /// Reports a crash of an upstream, which quarantine() knows; may be empty.
    std::function<void()> reportCrash;
};

/// \brief Accepts callers' requests, places each on an upstream and relays the answers; runs on one loop.
class relay {
public:
    relay(event_loop& loop, relay_options options, relay_telemetry& telemetry, relay_hooks hooks);
    ~relay();

    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// \brief Takes over a caller's socket, or closes it if there are too many callers and none is idle.
    void accept(evutil_socket_t socket);
    /// \brief Replaces the options.
    void setOptions(const relay_options& options);
    /// \brief Applies a newer configuration; an older one is ignored.
    void onConfig(fleet_config_ptr config);
    /// \brief Replaces the list of upstreams.
    void onUpstreams(const std::map<std::string, upstream_entry>& entries);
    /// \brief Replaces the set of evacuated zones, whose upstreams are sent nothing. Requests that were
    /// placed there and not sent yet are placed again; those that were sent run to their end.
    void onEvacuations(const std::set<std::string>& zones);
    /// \brief Applies an update of what an upstream has loaded, which is more current than the list.
    /// \return false if the update is a delta and what it adds to is not known
    bool onLoadedModels(const std::string& id, const loaded_models_update& update);
    /// \brief Replaces the load that the other gateways put on an upstream.
    void onPeerLoad(const std::string& id, const peer_load& load);
    /// \brief Applies the coordinator's factor of an upstream's speed.
    void onSpeedTold(const std::string& id, double factor);
    /// \brief Applies the coordinator's limit for an upstream in slow start; 0 ends it.
    void onStartLimitTold(const std::string& id, int limit);
    /// \return what was observed of the upstreams' speeds and slow starts since the last call, by id.
    std::vector<std::tuple<std::string, pace_sums, start_report>> takeSpeedSamples();
    /// \brief Notes that a coordinator answers, so that its factors of the upstreams' speeds are current.
    void onCoordinatorHeard() { m_hasCoordinator = true; }
    /// \brief Notes that the known configuration was confirmed to be the newest.
    /// \param confirmedAt time on the clock that includes suspension
    void onConfigConfirmed(monotonic_time confirmedAt);
    /// \brief Begins to drain: the relay is no longer ready, and each answer closes its connection. Idle
    /// connections stay open, since a request may be on its way.
    /// \param schedule which requests are still sent to upstreams; the others are refused as not run
    void drain(const drain_schedule& schedule) { m_drain = schedule; }
    bool isDraining() const { return m_drain.has_value(); }
    /// \return whether no request is running and every answer is written to its socket.
    bool isIdle() const;
    /// \brief Notes that teams' rate limits can be enforced, because the number of gateways is known.
    void onLimitsKnown() { m_knowsLimits = true; }
    /// \return whether callers should be sent to this gateway.
    bool isReady() const;
    /// \brief Divides the fleet's retry slack by the number of gateways; 0 changes nothing.
    void onGatewayCount(unsigned count);
    /// \brief Applies what the coordinator says about the request limit of an upstream.
    void onUpstreamLimitTold(const upstream_limit& limit);
    /// \return the request limits of upstreams, and the credit for sending requests to them.
    send_credit& sendCredit() { return m_sendCredit; }
    /// \return the prompt parts whose requests are refused, and the evidence for them.
    prompt_quarantine& quarantine() { return m_quarantine; }
    /// \brief Applies what the coordinator says about quarantined prompt parts.
    void onQuarantineTold(const quarantine_update& told);
    /// \brief Ends quarantines, and decides on this gateway's own evidence where nobody coordinates.
    void updateQuarantine(bool isCoordinated);
    /// \brief Forgets what only a coordinator tells: the other gateways' load and updates of loaded models.
    void onCoordinatorLost();

    event_loop& loop() { return m_loop; }
    /// \return limits for callers' connections; the defaults until a configuration is known.
    const caller_limits& limits() const;
    /// \return the newest configuration's routes and teams; null until a configuration is known.
    const route_table_ptr& table() const { return m_table; }
    const std::unordered_map<std::string, upstream_state_ptr>& upstreams() const { return m_upstreams; }
    /// \return number of requests that wait to be placed.
    std::size_t waiting() const { return m_waiting.size(); }

    // For callers' connections.

    /// \brief Removes a connection that was closed; it is destroyed in a later turn of the loop.
    void removeCaller(const caller_connection& connection);
    /// \brief Logs that a connection was closed before its request or answer was complete.
    /// \param unwritten bytes of the answer that were lost
    void logCallerCut(std::string_view reason, bool hasRequest, bool hasIncoming, std::size_t unwritten);
    /// \brief Has a connection read its pending bytes in the next turn of the loop.
    void scheduleRead(const std::shared_ptr<caller_connection>& connection);

    /// \return why no upstream can get a request with this head whatever its body is; nothing if one may.
    std::optional<refusal_reason> refusalOfHead(const http_head& head) const;
    /// \brief Updates what a connection holds after it read something; sheds connections if the budget is
    /// used up, possibly this one.
    /// \return whether it may read on; otherwise readPending() is called once it may
    bool admitHeldBytes(caller_connection& connection);
    /// \brief Updates what a connection holds; connections are shed in the next turn of the loop at the
    /// earliest.
    void noteHeldBytes(caller_connection& connection);
    /// \brief Counts a request that was refused before it was complete.
    void recordEarlyRefusal(refusal_reason reason);

    // For exchanges.

    /// \return whether a request that has not run may be sent to an upstream, as far as the end of the
    /// process is concerned.
    bool mayStart(const relay_exchange& request);

    /// \return a random number from 0 to below 1.
    double randomFraction();
    /// \return whether the configuration was confirmed recently enough to accept requests with API keys.
    bool mayAcceptApiKeys() const;
    /// \return retry time for callers if nothing more exact is known.
    milliseconds fallbackRetryAfter() const;
    /// \return retry time for the caller of a request that no upstream took, with a random part.
    milliseconds declinedRetryAfter(const relay_exchange& request);
    /// \return the time until the quarantine of the request's prompt ends; nothing if it may be sent now.
    std::optional<milliseconds> quarantineLeft(const relay_exchange& request) const;
    /// \brief Counts an answer that went on after its beginning.
    void onAnswerUnderWay(const relay_exchange& request);
    /// \param tried ids of upstreams that must not be chosen again
    relay_choice decideDispatch(const relay_exchange& request, const std::set<std::string>& tried);
    void requestCredit(const relay_exchange_ptr& request);
    void refund(const std::string& team, double tokens);
    /// \brief Adds a request to those that wait to be placed.
    /// \param recheck time until it is placed again, unless something changes before
    void addWaiting(const relay_exchange_ptr& request, milliseconds recheck);
    void removeWaiting(const relay_exchange& request);
    /// \return whether the service's retry budget allows one more retry, which is then counted.
    bool tryRetry(const std::string& service);
    /// \brief Has all waiting requests placed again in the next turn of the loop.
    void schedulePlacement();
    /// \brief Avoids an upstream for a while whose address answered for another id.
    void onMisdirected(const upstream_state_ptr& upstream);
    /// \brief Applies what an answer says about the upstream itself.
    void applyAnswerMetadata(const upstream_state_ptr& upstream, const upstream_answer_metadata& metadata);
    /// \brief Applies what a genuine answer says about the upstream's request limit.
    /// \param sentAt when its request was sent, on the clock that counts suspension
    void applyRequestLimit(
        const std::string& upstream, const upstream_answer_metadata& metadata, monotonic_time sentAt);
    /// \return the number of idle connections to an upstream that this gateway may keep.
    std::size_t maxIdleConnections(const upstream_state& upstream) const;
    /// \brief Spends the credit for sending a request to an upstream, where it has a request limit.
    /// \return whether the request may be sent
    bool trySpendSend(const std::string& upstream);
    /// \brief Checks again, right before a request is sent, whether the request limits allow it.
    /// \param wasLimited whether credit was spent when the request was placed
    /// \param placedAt when that was
    /// \return whether the request may be sent
    bool mayStillSend(const upstream_entry& target, bool wasLimited, monotonic_time placedAt);
    void onArrival() { ++m_running; }
    /// \brief Counts a request towards the retry budget of its service and the demand for its model.
    void recordDemand(const relay_exchange& request);
    void logBadRequest(const char* error);
    void recordSend(const relay_exchange& request, upstream_state& upstream, double forecastMilliseconds,
        int earlierSends);
    /// \param elapsed seconds since the request was dispatched
    /// \param unreadTokens unread prompt tokens of the upstream when the request was dispatched, its own
    /// included
    void recordFirstByte(
        const relay_exchange& request, upstream_state& upstream, double elapsed, double unreadTokens);
    /// \brief Logs an answer that bears the id of another request.
    void logMismatchedAnswer(const relay_exchange& request, const upstream_state& upstream);
    /// \brief Records a complete answer.
    /// \param isSound whether the upstream worked properly; otherwise it gets fewer requests than its peers
    void recordAnswer(const relay_exchange& request, upstream_state& upstream, bool isSound);
    /// \brief Finds out whether an upstream crashed when the connection of a request to it broke.
    /// \param isUnderWay whether the answer began long enough before that its beginning was no cause
    void onConnectionBroken(
        const relay_exchange& request, const upstream_state_ptr& upstream, bool isUnderWay);
    /// \brief Records a failure, after which the upstream is avoided for a while.
    void recordFailure(upstream_state& upstream, bool beforeFirstByte);
    /// \brief Records that an upstream sent something or accepted a connection, so that it is no longer
    /// silent.
    void recordActivity(upstream_state& upstream);
    void recordRefusal(const relay_exchange& request, refusal_reason reason);
    /// \brief Logs and counts the end of a request.
    /// \param upstream the last upstream that was chosen; null if there was none
    void recordEnd(const relay_exchange& request, std::string_view outcome, int status, int sends,
        const upstream_state* upstream);

private:
    /// Statistics of the requests for one model, or of the calls to a service without models.
    struct model_stats {
        /// Time for which an upstream reads one prompt token, learned from first events.
        double millisecondsPerToken { 0.05 };
        /// Mean time for which a request occupies a slot of its upstream.
        double meanRequestMilliseconds { 1500 };
        /// Mean time from the send to the end of complete answers; zero before the first.
        monotonic_duration usualDuration { 0 };
        /// Requests per second that this gateway placed recently, as of placedAt.
        double placedPerSecond { 0 };
        monotonic_time placedAt {};
        /// Mean time for a byte of a stream on an upstream of mean speed, by the load of the upstream when
        /// the stream ended; 0 before the first.
        std::array<double, 4> millisecondsPerByte {};

        /// \return placedPerSecond as of now, which decays exponentially.
        double placedRate(monotonic_time now) const;
        /// Counts a placed request.
        void onPlaced(monotonic_time now);
    };

    std::vector<upstream_state_ptr> candidatesFor(
        const relay_exchange& request, const std::set<std::string>& tried);
    /// \return the mean number of requests for the same model that the other gateways placed since their load
    /// was last reported.
    double placedUnseen(const relay_exchange& request, monotonic_time now);
    /// \return the choice among a sample of the candidates if the other gateways placed many requests that
    /// are not reported yet, otherwise among all.
    upstream_choice chooseAmong(const relay_exchange& request,
        const std::vector<upstream_candidate>& candidates, const request_demand& demand);
    std::vector<upstream_candidate> describe(
        const relay_exchange& request, const std::vector<upstream_state_ptr>& upstreams);
    /// \return retry time for the caller of a request whose model no upstream has loaded: when the model can
    /// be loaded.
    milliseconds modelLoadRetryAfter(const relay_exchange& request);
    /// \return the time until the request's model can be used once its load is ordered; nothing if the
    /// configuration does not know the model.
    std::optional<milliseconds> modelLoadTime(const relay_exchange& request) const;
    /// \return the connections that an upstream accepts from all gateways together; 0 for no limit.
    int maxConnectionsOf(const upstream_state& upstream) const;
    /// \return whether an upstream accepts a further connection for a request, of all gateways together.
    bool hasFreeConnection(const upstream_state& upstream) const;
    /// \return a refusal if upstreams that could take the request have requested a backoff; otherwise
    /// nothing.
    std::optional<relay_choice> refuseDuringBackoff(const relay_exchange& request);
    /// \return a refusal if only upstreams of evacuated zones could take the request; otherwise nothing.
    std::optional<relay_choice> refuseEvacuated(const relay_exchange& request);
    void applyEntry(upstream_state& upstream, const upstream_entry& entry);
    /// \return the choice among upstreams, as the position in the list; no credit is spent.
    upstream_choice chooseUpstreamOf(
        const relay_exchange& request, const std::vector<upstream_state_ptr>& upstreams);
    /// Requests credit for the best upstream without it, and lets the request wait; or refuses the request
    /// where no credit can be expected.
    relay_choice waitForSendCredit(
        const relay_exchange& request, const std::vector<upstream_state_ptr>& withoutCredit);
    /// \return a warm upstream that is well in time, where others are cold; nothing if none is.
    std::optional<relay_choice> chooseWarm(
        const relay_exchange& request, const std::vector<upstream_state_ptr>& upstreams);
    /// \return whether the process stood still and may not know yet that upstreams of the service are cold.
    bool isCatchingUp(const std::string& service);
    /// Applies and logs the limits that services state for their cold upstreams.
    void applyColdConfig(const std::vector<service_config>& services);
    /// Applies the limits of the upstreams that are cold now, and logs which began and ended.
    void updateColdLimits();
    /// Learns how long the requests for a model take.
    void recordDuration(const relay_exchange& request);
    /// Begins the slow start of an upstream that started or recovered.
    /// \param reason what was seen of it, for the log
    void beginSlowStart(upstream_state& upstream, std::string_view reason);
    /// Counts the outcome of a request, if its upstream is in slow start.
    void recordStartOutcome(upstream_state& upstream, const start_outcomes& outcome);
    /// Logs the end of a slow start, and sets its metric.
    void showStartLimit(upstream_state& upstream);
    /// \return whether an upstream in slow start should get no further request.
    bool isHeldBack(const relay_exchange& request, const upstream_state& upstream);
    /// \return whether the speed of upstreams is learned and decides, by the options and the size of the
    /// fleet.
    bool learnsUpstreamSpeed() const;
    /// Learns from a complete stream how fast its upstream is.
    void recordStreamSpeed(const relay_exchange& request, upstream_state& upstream);
    /// \return the decision to send a request to the chosen one of the upstreams.
    send_decision sendTo(
        const std::vector<upstream_state_ptr>& upstreams, const chosen_upstream& chosen) const;
    void logRequestLimit(const upstream_limit& limit, std::string_view source);
    /// \param hasUpstreams whether the service has any upstream
    relay_choice decideWithoutCandidate(const relay_exchange& request, bool hasUpstreams);
    void logNoRoom(const relay_exchange& request, const no_upstream_in_time& full,
        const std::vector<upstream_candidate>& candidates);
    relay_choice refuseOverloaded(const relay_exchange& request, const no_upstream_in_time& full);
    void placeWaiting();
    /// Ends the requests whose prompts are in quarantine: those that wait, and those whose answers have not
    /// begun.
    void endQuarantinedRequests();
    /// Finds upstreams that have requests and sent nothing for too long, and probes silent ones.
    void checkSilence();
    /// Checks from time to time whether a silent upstream accepts connections again.
    void probe(const upstream_state_ptr& upstream, monotonic_time now);
    /// Closes the connection that was idle longest, to make room for a new one.
    /// \return whether a connection was closed
    bool closeIdleCaller();
    /// Sheds connections while the budget for callers' memory demands it, and resumes paused ones.
    void shedCallers();
    /// Checks soon whether connections must be shed, or may read again.
    void scheduleShedding();
    /// Sets the metrics of callers' memory.
    void exportCallerMemory();
    retry_after_schedule& retryScheduleOf(const relay_exchange& request);
    /// \return key of the prompt parts that the request shares with others; empty if there are none.
    std::string affinityKey(const relay_exchange& request) const;

    event_loop& m_loop;
    relay_options m_options;
    relay_telemetry& m_telemetry;
    relay_hooks m_hooks;
    route_table_ptr m_table;
    config_freshness m_configFreshness;
    std::unordered_map<std::string, upstream_state_ptr> m_upstreams;
    std::unordered_map<std::string, std::vector<upstream_state_ptr>> m_byService;
    /// Start times of upstreams that said that they are leaving, by id. Kept when such an upstream disappears
    /// from the list, so that it is not used again if the list shows it once more.
    std::unordered_map<std::string, std::int64_t> m_leavingStarts;
    std::set<std::string> m_evacuatedZones;
    send_credit m_sendCredit;
    cold_limits m_coldLimits;
    /// Since when each cold upstream is known to be cold, by id.
    std::map<std::string, monotonic_time> m_coldSince;
    standstill_guard m_standstillGuard;
    std::unordered_map<const caller_connection*, std::shared_ptr<caller_connection>> m_callers;
    std::vector<std::shared_ptr<caller_connection>> m_toRead;
    caller_memory m_callerMemory;
    std::vector<std::weak_ptr<caller_connection>> m_pausedCallers;
    /// Closed connections, kept until their own handlers have returned.
    std::vector<std::shared_ptr<caller_connection>> m_closedCallers;
    std::list<relay_exchange_ptr> m_waiting;
    /// By service.
    std::unordered_map<std::string, retry_budget> m_retryBudgets;
    unsigned m_gatewayCount;
    static std::string modelKey(const relay_exchange& request);
    /// \return the shortest retry time for the request's route.
    static milliseconds minRetryAfterFor(const relay_exchange& request);
    model_stats& statsOf(const relay_exchange& request);

    /// By service and model, like the retry schedules.
    std::unordered_map<std::string, model_stats> m_stats;
    std::unordered_map<std::string, retry_after_schedule> m_retrySchedules;
    /// Id of the upstream that last read the prompt parts, by affinityKey().
    std::unordered_map<std::string, std::string> m_affinity;
    timer m_readTimer;
    timer m_memoryTimer;
    timer m_placeTimer;
    /// When m_placeTimer places waiting requests.
    monotonic_time m_placeDueAt {};
    timer m_silenceTimer;
    crash_watch m_crashWatch;
    prompt_quarantine m_quarantine;
    std::minstd_rand m_random;
    std::size_t m_running { 0 };
    std::optional<drain_schedule> m_drain;
    bool m_knowsUpstreams { false };
    bool m_knowsLimits { false };
    /// Whether a coordinator answers.
    bool m_hasCoordinator { false };
};

} // namespace sagesaddle
