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

/// \brief The settings of a gateway.
struct gateway_settings {
    std::string name;
    std::string zone;

    address callers;
    address readiness;
    /// Where other gateways reach this one.
    address peers;
    std::optional<address> metrics;
    address store;

    log_level level { log_level::Info };

    /// From SIGTERM until the process is killed.
    milliseconds grace { 8000 };
    /// From a key's withdrawal until it must not work.
    milliseconds revocationBound { 5000 };
    /// Pause that must lie between the orders of two holders.
    milliseconds handoverPause { 3000 };
    /// Second sends that the fleet may make for each request, and beyond that at once.
    double retryRatio { 0.2 };
    double retrySlack { 50 };
    std::int64_t descriptors { 1024 };
    /// Processor and link of the host; a weak host leaves the coordination to others.
    double cores { 1 };
    double linkMbps { 1000 };
};

/// \return names of the settings that differ and that a running process does not take over
std::vector<std::string> settingsNeedingRestart(
    const gateway_settings& running, const gateway_settings& next);

/// Reads the settings of a gateway.
/// \throws settings_error naming every fault
gateway_settings parseGatewaySettings(settings_reader& reader);

} // namespace sagesaddle
