#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Watch/log.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

class settings_reader;

/// \brief The settings of a gateway process.
struct gateway_settings {
    std::string name;
    std::string zone;

    /// Address for callers' requests.
    address callerListenAddress;
    /// Address for the platform's readiness checks.
    address readinessListenAddress;
    /// Address for the other gateways, which send their reports there while this one coordinates.
    address peerListenAddress;
    /// Address that serves the metrics; none are served where it is absent.
    std::optional<address> metricsListenAddress;
    /// Address of the platform's store.
    address storeAddress;

    log_level level { log_level::Info };

    /// Time from SIGTERM until the platform kills the process.
    milliseconds grace { 8000 };
    /// Time within which a withdrawn API key must stop working.
    milliseconds revocationBound { 5000 };
    /// Shortest time between the orders of one lease holder and those of the next.
    milliseconds handoverPause { 3000 };
    /// Retries that the whole fleet may make for each request.
    double retryRatio { 0.2 };
    /// Retries that the whole fleet may make at once beyond that ratio.
    double retrySlack { 50 };
    /// File descriptors that the process may open.
    std::int64_t descriptors { 1024 };
    /// Processor cores of the host, and its link in Mbit/s; a weak host leaves the coordination to others.
    double cores { 1 };
    double linkMbps { 1000 };
    /// Whether upstreams appear, disappear and report false health in this deployment; each one's speed is
    /// learned then.
    bool hasUnsteadyUpstreams { false };
    /// Memory of the host in MB, a part of which callers may make the process hold; 0 if it is not stated.
    double memoryMegabytes { 0 };
};

/// \return the keys of the settings that differ and that take effect only after a restart.
std::vector<std::string> settingsNeedingRestart(
    const gateway_settings& running, const gateway_settings& next);

/// Reads the settings of a gateway.
/// \throws settings_error naming every fault
gateway_settings parseGatewaySettings(settings_reader& reader);

} // namespace sagesaddle
