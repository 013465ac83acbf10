#pragma once

#include "Base/clock.h"
#include "Entry/caller_request.h"
#include "Entry/decision_log.h"
#include "Entry/exchange.h"
#include "Entry/refusal.h"
#include "Entry/verdict_tracker.h"
#include "Route/retry_budget.h"
#include "Route/round_robin_router.h"
#include "Route/router.h"
#include "Watch/trace_context.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace sagesaddle {

class caller_answer;
class metric_registry;
class span_exporter;

/// \brief A request in the dispatcher, with its state.
struct dispatch_context {
    const caller_request& request;
    const trace_context& trace;
    monotonic_time deadline;
    /// Receives the answer.
    caller_answer& answer;
    /// Receives the steps of the decision.
    decision_record& record;
    /// Whether the request may have run, over all attempts.
    verdict_tracker verdicts {};
};

/// \brief The caller received the complete answer.
struct answered { };

/// \brief The caller closed its connection before its answer was complete.
struct caller_gone { };

/// How a request ended.
using dispatch_outcome = std::variant<answered, caller_gone, refusal>;

/// \brief Sends requests to upstreams, retries them where that is safe, and relays the answers to the
/// callers.
///
/// Thread-safe. One lock guards the router, the retry budget and the load reports; no other lock is taken
/// while it is held.
class dispatcher {
public:
    struct options {
        /// Region and availability zone of this entry.
        std::string region;
        std::string zone;
        /// Seed of the router's random choices.
        std::uint64_t seed { 0 };
        /// Retries that each request adds to the retry budget.
        double retriesPerRequest { 0.1 };
        /// Maximum number of retries in the budget, which starts with this many.
        double retryReserve { 10 };
        /// Routes round-robin instead of by load: the baseline for measurements.
        bool roundRobin { false };
    };
    /// Sends a message to the side process of an upstream; returns false if nothing was sent.
    using send_to_side = std::function<bool(const std::string& upstream, const message& value)>;

    dispatcher(const options& settings, exchange_table& exchanges, send_to_side send,
        metric_registry& metrics, span_exporter& spans);

    /// Applies a newer state of the fleet.
    void update(const fleet_state_ptr& state);
    /// A load report arrived.
    void onLoad(const load_report& report);
    /// The side process of an upstream can be reached, or was disconnected or stopped answering.
    void onLink(const std::string& upstream, bool up);
    /// The platform lists the upstream as leaving; it gets no further requests.
    void onLeaving(const std::string& upstream);

    /// \return the refusal if no upstream can take the request now, otherwise nothing.
    std::optional<refusal> checkAvailability(const caller_request& request, monotonic_time deadline);

    /// Runs the request. Blocks the calling worker until the outcome is known.
    /// \throws std::exception on an error of the entry itself; the request may have run by then
    dispatch_outcome run(dispatch_context& context);

    /// \return the latest load report of each upstream.
    std::map<std::string, load_report> loadReports() const;

private:
    struct attempt;

    /// Calls the configured router while holding the lock.
    template <typename Call> auto withRouter(const Call& call)
    {
        const std::lock_guard lock(m_mutex);
        return std::visit(call, m_router);
    }

    route_choice choose(const route_request& routeRequest);
    /// Runs one attempt at the upstream, and reports its end to the router and as a span.
    dispatch_outcome tryUpstream(
        dispatch_context& context, const route_request& routeRequest, const std::string& upstream);
    /// \return whether the request may be retried and another upstream is ready for it, so that a silent
    /// upstream need not be waited for.
    bool hasReadyCopyElsewhere(const dispatch_context& context, const attempt& current);
    /// Relays the events of an attempt to the caller's answer until the attempt has ended.
    dispatch_outcome relay(dispatch_context& context, attempt& current);
    /// Decides whether to make another attempt; if so, takes a retry from the budget.
    bool mayRetry(const dispatch_context& context, const refusal& why, verdict attemptVerdict);

    exchange_table& m_exchanges;
    const send_to_side m_send;
    metric_registry& m_metrics;
    span_exporter& m_spans;
    mutable std::mutex m_mutex;
    std::variant<router, round_robin_router> m_router;
    retry_budget m_retries;
    std::map<std::string, load_report> m_loadReports;
};

} // namespace sagesaddle
