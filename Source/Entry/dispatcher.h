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

/// \brief A request on its way through the dispatcher, with what is known of it so far.
struct dispatch_context {
    const caller_request& request;
    const trace_context& trace;
    monotonic_time deadline;
    caller_answer& answer;
    decision_record& record;
    verdict_tracker verdicts {};
};

/// \brief The caller got the whole answer.
struct answered { };

/// \brief The caller left before its answer was whole.
struct caller_gone { };

/// What came of a request.
using dispatch_outcome = std::variant<answered, caller_gone, refusal>;

/// \brief Sends requests to upstreams, tries again where that is safe, and relays their answers.
///
/// The router and the retry budget stand under one lock; nothing else is locked while it is held.
class dispatcher {
public:
    struct options {
        std::string region;
        std::string zone;
        std::uint64_t seed { 0 };
        double retriesPerRequest { 0.1 };
        double retryReserve { 10 };
        /// Decides by the baseline instead of the router; for measurements.
        bool roundRobin { false };
    };
    /// Sends a message to an upstream's side process; false where nothing was sent.
    using send_to_side = std::function<bool(const std::string& upstream, const message& value)>;

    dispatcher(const options& settings, exchange_table& exchanges, send_to_side send,
        metric_registry& metrics, span_exporter& spans);

    void update(const fleet_state_ptr& state);
    void onLoad(const load_report& report);
    void onLink(const std::string& upstream, bool up);
    void onLeaving(const std::string& upstream);

    /// \return why no upstream would take the request now, or nothing where one would.
    std::optional<refusal> checkAvailability(const caller_request& request, monotonic_time deadline);

    /// Runs the request; the worker waits here until its outcome is known.
    dispatch_outcome run(dispatch_context& context);

    /// \return the latest load report of each upstream.
    std::map<std::string, load_report> loadReports() const;

private:
    struct attempt;

    /// Calls the router in use, under the lock.
    template <typename Call> auto withRouter(const Call& call)
    {
        const std::lock_guard lock(m_mutex);
        return std::visit(call, m_router);
    }

    route_choice choose(const route_request& routeRequest);
    dispatch_outcome tryUpstream(
        dispatch_context& context, const route_request& routeRequest, const std::string& upstream);
    bool hasReadyCopyElsewhere(const dispatch_context& context, const attempt& current);
    dispatch_outcome relay(dispatch_context& context, attempt& current);
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
