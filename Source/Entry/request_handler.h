#pragma once

#include "Agree/fleet_follower.h"
#include "Entry/caller_request.h"
#include "Entry/decision_log.h"
#include "Entry/dispatcher.h"
#include "Entry/entry_settings.h"
#include "Limit/rate_limiter.h"
#include "Serve/http_server.h"
#include "Watch/trace_context.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace sagesaddle {

class metric_registry;
class overload_monitor;
class span_exporter;

/// \brief Answers callers: validates, authenticates, charges and dispatches each request. Thread-safe.
class request_handler {
public:
    /// \brief Functions and objects of the process that the handler uses; the objects must outlive it.
    struct services {
        /// Newest state, or null before there is one.
        std::function<fleet_state_ptr()> state;
        std::function<freshness(monotonic_time)> freshnessAt;
        /// Charges tokens to a team's rate; may wait for credit until the deadline.
        std::function<rate_decision(const std::string& team, double tokens, monotonic_time deadline)> admit;
        /// Whether the process reports itself ready.
        std::function<bool()> isReady;
        /// Whether the process is draining and rejects new requests.
        std::function<bool()> isRejecting;
        dispatcher& requestDispatcher;
        metric_registry& metrics;
        span_exporter& spans;
        decision_log& decisions;
        overload_monitor& overloadMonitor;
    };

    request_handler(const entry_settings& settings, services dependencies);

    /// Answers one call. Blocks the calling worker of the HTTP server until the answer is complete.
    void handle(http_call& call);

    /// \return the number of requests being processed, without those to the health paths.
    std::uint32_t inFlight() const { return m_inFlight; }

private:
    struct request_context;

    void serve(request_context& current);
    void serveModels(request_context& current);
    caller_request readChat(request_context& current);
    caller_request readService(request_context& current, const route& found);
    void dispatch(request_context& current, const caller_request& request);
    std::string readBody(request_context& current);
    fleet_state_ptr requireFreshState() const;
    std::string authenticateTeam(request_context& current, const fleet_state& state) const;
    void finish(request_context& current);

    const entry_settings& m_settings;
    const services m_services;
    std::atomic<std::uint32_t> m_inFlight { 0 };
};

} // namespace sagesaddle
