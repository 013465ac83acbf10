#pragma once

#include "Gateway/coordinator.h"
#include "Gateway/coordinator_client.h"
#include "Gateway/engine_order_sender.h"
#include "Gateway/gateway_settings.h"
#include "Gateway/store_follower.h"
#include "Loop/status_server.h"
#include "Relay/relay.h"

namespace sagesaddle {

/// \brief One gateway process: connects the relay, the store follower, the coordinator and the client of the
/// coordinator with each other.
class gateway {
public:
    gateway(event_loop& loop, gateway_settings settings);

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Becomes not ready, finishes the running requests and stops the loop, all within the shutdown grace of
    /// the settings.
    void drain();

    /// Applies changed settings where they are valid; changed addresses need a restart.
    /// \param read reads the settings; where it throws, the settings in use are kept and an error is logged
    void reload(const std::function<gateway_settings()>& read);

private:
    /// Begins or ends a term as coordinator, by the state of the lease and of the other gateways.
    void updateCoordination();
    /// Stops the loop once the drain is complete or its time is over, else checks again later.
    void continueDrain();
    /// \return the answer to a report; nothing where this gateway does not coordinate.
    std::optional<fleet_update> answerReport(fleet_report report);
    relay_options relayOptions() const;

    event_loop& m_loop;
    gateway_settings m_settings;
    /// This process's name in the lease.
    std::string m_member;
    metric_registry m_metrics;
    decision_logger m_lines;
    relay_telemetry m_telemetry;
    coordinator m_coordinator;
    bool m_isCoordinating { false };
    /// Coordinates without the lease: this gateway is the successor of a coordinator that fell silent.
    bool m_isInterim { false };
    bool m_heldLease { false };
    lease_outlasting m_outlasting;
    relay m_relay;
    store_follower m_storeFollower;
    engine_order_sender m_orderSender;
    coordinator_client m_client;
    report_server m_reportServer;
    status_server m_readinessServer;
    std::unique_ptr<status_server> m_metricsServer;
    timer m_orderTimer;
    timer m_drainTimer;
    std::optional<drain_schedule> m_drain;
    int m_idleChecks { 0 };
    tcp_listener m_callerListener;
};

} // namespace sagesaddle
