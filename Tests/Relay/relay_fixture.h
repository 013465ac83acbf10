#pragma once

#include "Loop/tcp_listener.h"
#include "Relay/relay.h"
#include "Support/loop_until.h"
#include "Support/scripted_http.h"

#include <deque>

namespace sagesaddle {

/// \brief A relay with a configuration, whose credit requests are granted, with scripted upstreams and
/// callers.
struct relay_fixture {
    /// \param callerMemoryBytes memory that callers may make the relay hold
    explicit relay_fixture(std::size_t callerMemoryBytes = caller_memory::budgetFor(0));

    /// \return a configuration with the routes /safe/ (idempotent), /unsafe/ (not idempotent), /stream/,
    /// /resume/ (resumable stream) and /open/ (idempotent, public) of host `h`, all to the service `desk`.
    static fleet_config config(std::uint64_t version);
    scripted_upstream& addUpstream(const std::string& id, std::vector<loaded_model> models = {});
    /// Hands the relay the list of all upstreams.
    void publishUpstreams();
    scripted_caller& addCaller();
    /// Runs the loop until the caller has an answer or its connection is closed.
    bool ended(const scripted_caller& caller);

    event_loop loop;
    decision_logger lines;
    metric_registry metrics;
    relay_telemetry telemetry { lines, metrics };
    /// Whether requests for credit are granted; otherwise they are over the limit.
    bool grantsCredit { true };
    /// Tokens of credit that the relay returned.
    double refunded { 0 };
    /// Answers the relay's requests for credit to send to upstreams with a request limit, as a coordinator
    /// that grants sendCreditPerRequest for each; refuses them with sendRetryAfter if that is 0.
    bool grantsSendCredit();
    bool hasCoordinator { true };
    double sendCreditPerRequest { 0 };
    milliseconds sendRetryAfter { 900 };
    /// How often the relay reported a missing model.
    int missingModels { 0 };
    relay tested;
    tcp_listener listener;
    std::deque<scripted_upstream> upstreams;
    std::deque<scripted_caller> callers;
};

/// Makes an upstream answer each request with 200.
void answerAll(scripted_upstream& upstream);

} // namespace sagesaddle
