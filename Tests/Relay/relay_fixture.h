#pragma once

#include "Loop/tcp_listener.h"
#include "Relay/relay.h"
#include "Support/loop_until.h"
#include "Support/scripted_http.h"

#include <deque>

namespace sagesaddle {

/// \brief A relay with a configuration, upstreams and granted credit.
struct relay_fixture {
    relay_fixture();

    /// Routes: /safe/, /unsafe/, /stream/, /resume/, /open/ of host `h`, all to the service `desk`.
    static fleet_config config(std::uint64_t version);
    scripted_upstream& addUpstream(const std::string& id, std::vector<held_model> models = {});
    void publishUpstreams();
    scripted_caller& addCaller();
    /// Waits until the caller has an answer or a close.
    bool ended(const scripted_caller& caller);

    event_loop loop;
    decision_lines lines;
    metric_registry metrics;
    relay_telemetry watch { lines, metrics };
    bool grantsCredit { true };
    double refunded { 0 };
    int wanted { 0 };
    relay tested;
    tcp_listener listener;
    std::deque<scripted_upstream> upstreams;
    std::deque<scripted_caller> callers;
};

/// Has an upstream answer each request with 200.
void answerAll(scripted_upstream& upstream);

} // namespace sagesaddle
