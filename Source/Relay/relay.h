#pragma once

#include "Fleet/contact_clock.h"
#include "Fleet/fleet_pace.h"
#include "Fleet/held_changes.h"
#include "Fleet/route_table.h"
#include "Limit/return_schedule.h"
#include "Relay/caller_connection.h"
#include "Relay/relay_exchange.h"
#include "Relay/relay_telemetry.h"
#include "Route/engine_choice.h"
#include "Route/retry_budget.h"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <variant>

namespace sagesaddle {

/// \brief Send the request to that upstream.
struct relay_send {
    upstream_state_ptr target;
    double forecastMilliseconds { 0 };
};

/// \brief Wait: what it needs is on its way.
struct relay_wait { };

/// \brief End the request, which has not run.
struct relay_refuse {
    refusal_reason reason;
    std::optional<milliseconds> retryAfter;
};

using relay_choice = std::variant<relay_send, relay_wait, relay_refuse>;

/// \brief Bounds that the relay keeps.
struct relay_options {
    std::string zone;
    /// Age of the configuration's evidence from which keys are not used.
    milliseconds maxConfigAge { 4300 };
    double retriesPerRequest { 0.1 };
    /// Second sends beyond that which the fleet may make at once; each gateway has an equal part.
    double retrySlack { 5 };
    /// Callers' connections beyond which new ones are closed.
    std::size_t maxCallers { 3000 };
};

/// \brief The relay's way to the rest of the fleet.
struct relay_hooks {
    /// Asks for credit of a team; relay_exchange::onCreditDecision follows, at once or later.
    std::function<void(const relay_exchange_ptr&)> requestCredit;
    /// Credit of a request that surely did not run is free again.
    std::function<void(const std::string& team, double tokens)> refund;
    /// A model or adapter is asked for that no upstream holds.
    std::function<void(const std::string& service, const std::string& model, const std::string& adapter)>
        onModelMissing;
    /// A request asks for a model.
    std::function<void(const relay_exchange&)> recordDemand;
};

/// \brief Takes callers' requests, places each on an upstream and relays the answers; runs on one loop.
class relay {
public:
    relay(event_loop& loop, relay_options options, relay_telemetry& watch, relay_hooks hooks);
    ~relay();

    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    void accept(evutil_socket_t socket);
    /// Takes over other bounds.
    void setOptions(const relay_options& options);
    /// Takes in a newer configuration; an older one is ignored.
    void onConfig(fleet_config_ptr config);
    void onUpstreams(const std::map<std::string, upstream_entry>& entries);
    /// Takes in what an upstream holds, newer than its listing.
    /// \return false where it is a change of something that was not told here
    bool onLoadedModels(const std::string& id, const held_change& change);
    /// Takes in the load that others put on an upstream.
    void onPeerLoad(const std::string& id, const peer_load& load);
    /// Evidence that the configuration was the newest at that time, on the clock that counts suspension.
    void onConfigConfirmed(monotonic_time provenAt);
    /// Not ready first, no new requests, running ones finish.
    void drain();
    bool isDraining() const { return m_draining; }
    /// From now on new requests are declined: they might not end before the process does.
    void rejectNewRequests() { m_closedToRequests = true; }
    bool isRejectingRequests() const { return m_closedToRequests; }
    /// \return whether nothing runs and every answer left for its caller.
    bool isIdle() const;
    /// The teams' limits can be kept: it is known how many gateways share them.
    void onLimitsKnown() { m_knowsLimits = true; }
    /// \return whether callers should be sent here.
    bool isReady() const;
    /// Gateways that share the fleet's budget of second sends.
    void onGatewayCount(unsigned count);
    /// What upstreams hold is known by the list only.
    void onCoordinatorLost();

    event_loop& loop() { return m_loop; }
    const caller_limits& limits() const;
    const route_table_ptr& table() const { return m_table; }
    const std::unordered_map<std::string, upstream_state_ptr>& upstreams() const { return m_upstreams; }
    std::size_t waiting() const { return m_waiting.size(); }

    // For callers' links.
    void removeCaller(const caller_connection& link);
    /// A caller's connection is closed with something left on it.
    void logCallerCut(std::string_view why, bool hasRequest, bool hasIncoming, std::size_t unwritten);
    void scheduleRead(const std::shared_ptr<caller_connection>& link);

    // For exchanges.
    double randomFraction();
    bool mayUseKeys() const;
    milliseconds fallbackRetryAfter() const;
    /// \return when the caller of a request that no upstream took should come back.
    milliseconds declinedRetryAfter(const relay_exchange& request);
    relay_choice chooseUpstream(const relay_exchange& request, const std::set<std::string>& tried);
    void requestCredit(const relay_exchange_ptr& request);
    void refund(const std::string& team, double tokens);
    void addWaiting(const relay_exchange_ptr& request);
    void removeWaiting(const relay_exchange& request);
    bool tryRetry(const std::string& service);
    /// Waiting requests may be placed now: all are looked at once the events at hand are done.
    void schedulePlacement();
    void onMisdirected(const upstream_state_ptr& upstream);
    /// Takes in what an upstream says of itself beside an answer.
    void applyAnswerMetadata(const upstream_state_ptr& upstream, const upstream_answer_metadata& terms);
    void onArrival() { ++m_running; }
    void recordDemand(const relay_exchange& request);
    void logBadRequest(const char* what);
    void recordSend(
        const relay_exchange& request, upstream_state& upstream, double forecast, int earlierSends);
    void recordFirstByte(
        const relay_exchange& request, const upstream_state& upstream, double elapsed, double tokensAhead);
    void logMismatchedAnswer(const relay_exchange& request, const upstream_state& upstream);
    /// A whole answer came; one that is no success of the upstream eases it off against its peers.
    void recordAnswer(const relay_exchange& request, upstream_state& upstream, bool isSound);
    void recordFailure(upstream_state& upstream, bool beforeFirstByte);
    /// A byte of an answer came from it.
    void recordActivity(upstream_state& upstream);
    void recordRefusal(const relay_exchange& request, refusal_reason reason);
    void recordEnd(const relay_exchange& request, std::string_view outcome, int status, int sends,
        const upstream_state* upstream);

private:
    /// How fast a model reads prompts, learned from first events.
    struct model_pace {
        double millisecondsPerToken { 0.05 };
        double holdMilliseconds { 1500 };
        /// Requests a second that were placed here, weighted towards the last seconds.
        double placedPerSecond { 0 };
        monotonic_time placedAt {};

        /// \return placedPerSecond as of now: it fades since placedAt.
        double placedRate(monotonic_time now) const;
    };

    std::vector<upstream_state_ptr> candidatesFor(
        const relay_exchange& request, const std::set<std::string>& tried);
    /// \return requests for the same model that the other gateways placed since their last news, on the mean.
    double placedUnseen(const relay_exchange& request, monotonic_time now);
    /// \return the choice among a few of the candidates where much was placed unseen, else among all.
    engine_choice chooseAmong(const relay_exchange& request, const std::vector<engine_candidate>& candidates,
        const engine_demand& demand);
    std::vector<engine_candidate> describe(
        const relay_exchange& request, const std::vector<upstream_state_ptr>& upstreams);
    /// \return when the caller of a request should come back whose model no upstream holds: when it can be
    /// loaded.
    milliseconds loadedRetryAfter(const relay_exchange& request);
    /// \return the refusal of a request whose upstreams all rest for a while; nothing where none does.
    std::optional<relay_choice> whenResting(const relay_exchange& request);
    relay_choice whenAbsent(const relay_exchange& request, bool anyUpstream);
    void noteFull(const relay_exchange& request, const engine_full& full,
        const std::vector<engine_candidate>& candidates);
    relay_choice whenFull(const relay_exchange& request, const engine_full& full);
    void placeWaiting();
    /// Looks for upstreams that have requests and send nothing.
    void lookForSilence();
    /// Tries now and then whether a silent upstream accepts connections again.
    void probe(const upstream_state_ptr& upstream, monotonic_time now);
    /// Closes the connection that was idle longest, to make room.
    bool closeIdleCaller();
    return_schedule& returnsOf(const relay_exchange& request);
    std::string affinityKey(const relay_exchange& request) const;

    event_loop& m_loop;
    relay_options m_options;
    relay_telemetry& m_watch;
    relay_hooks m_hooks;
    route_table_ptr m_table;
    contact_clock m_contact;
    std::unordered_map<std::string, upstream_state_ptr> m_upstreams;
    std::unordered_map<std::string, std::vector<upstream_state_ptr>> m_byService;
    /// Starts of upstreams that said that they leave: the list may lose and regain them.
    std::unordered_map<std::string, std::int64_t> m_leftStarts;
    std::unordered_map<const caller_connection*, std::shared_ptr<caller_connection>> m_callers;
    std::vector<std::shared_ptr<caller_connection>> m_toRead;
    std::vector<std::shared_ptr<caller_connection>> m_closed;
    std::list<relay_exchange_ptr> m_waiting;
    std::unordered_map<std::string, retry_budget> m_retries;
    unsigned m_gateways;
    static std::string modelKey(const relay_exchange& request);
    static milliseconds shortestReturn(const relay_exchange& request);
    model_pace& paceOf(const relay_exchange& request);

    std::unordered_map<std::string, model_pace> m_paces;
    std::unordered_map<std::string, return_schedule> m_returns;
    std::unordered_map<std::string, std::string> m_affinity;
    timer m_readTimer;
    timer m_placeTimer;
    timer m_silenceTimer;
    std::minstd_rand m_random;
    std::size_t m_running { 0 };
    bool m_draining { false };
    bool m_closedToRequests { false };
    bool m_knowsUpstreams { false };
    bool m_knowsLimits { false };
};

} // namespace sagesaddle
