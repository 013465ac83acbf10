#pragma once

#include "Gateway/coordinator.h"
#include "Gateway/coordinator_client.h"
#include "Gateway/engine_order_sender.h"
#include "Gateway/gateway_settings.h"
#include "Gateway/store_follower.h"
#include "Loop/status_server.h"
#include "Relay/relay.h"

namespace sagesaddle {

/// \brief One gateway process: wires the relay, the store's follower and its part in the fleet together.
class gateway {
public:
    gateway(event_loop& loop, gateway_settings settings);

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Stops being ready, finishes what runs and ends the loop, within the grace of the settings.
    void drain();

    /// Takes in changed settings where they are valid; addresses need a restart.
    void reload(const std::function<gateway_settings()>& read);

private:
    void updateCoordination();
    void continueDrain();
    std::optional<fleet_news> answerReport(fleet_report report);
    relay_options relayOptions() const;

    event_loop& m_loop;
    gateway_settings m_settings;
    std::string m_member;
    metric_registry m_metrics;
    decision_lines m_lines;
    relay_watch m_watch;
    coordinator m_coordinator;
    bool m_isCoordinating { false };
    /// Coordinates without the lease, since the coordinator fell silent and this one was named to follow.
    bool m_isInterim { false };
    bool m_heldLease { false };
    relay m_relay;
    store_follower m_storeFollower;
    engine_order_sender m_orderSender;
    coordinator_client m_client;
    report_server m_reportServer;
    status_server m_readinessServer;
    std::unique_ptr<status_server> m_metricsServer;
    timer m_orderTimer;
    timer m_drainTimer;
    monotonic_time m_drainDeadline {};
    monotonic_time m_drainEarliestEnd {};
    int m_idleChecks { 0 };
    tcp_listener m_callerListener;
};

} // namespace sagesaddle
