#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Plan/placement_planner.h"
#include "Watch/log.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

class settings_reader;

/// \brief Bounds that requests are held to.
struct request_limits {
    std::size_t maxBodyBytes { std::size_t { 4 } << 20U };
    /// Answers that are not streamed are held back up to this size, so that a break shows as a refusal.
    std::size_t maxHeldAnswerBytes { std::size_t { 8 } << 20U };
    /// Answer tokens of a chat request that names none.
    std::uint32_t defaultAnswerTokens { 1024 };
    std::uint32_t maxAnswerTokens { 32768 };
    /// Tokens charged for a call of a plain service.
    std::uint32_t serviceCallTokens { 10 };
    milliseconds interactiveTimeout { 60000 };
    milliseconds batchTimeout { 600000 };
    milliseconds maxTimeout { 3600000 };

    auto operator<=>(const request_limits&) const = default;
};

/// \brief The settings of an entry process.
struct entry_settings {
    std::string name;
    std::string region;
    std::string zone;

    address callerListenAddress;
    std::uint32_t workers { 512 };
    std::string certificateFile;
    request_limits limits;
    /// Time in which a request's body must have come.
    milliseconds bodyTimeout { 10000 };
    /// Time between not being ready and not accepting, for the balancer to notice.
    milliseconds drainDelay { 2000 };
    /// Time that running requests get after that.
    milliseconds drainTimeout { 60000 };

    address adminListenAddress;
    address peerListenAddress;
    /// Entries to ask for the state before any record is known.
    std::vector<address> seedPeers;
    address logAddress;
    std::optional<address> hostListAddress;
    milliseconds hostListPeriod { 500 };
    std::optional<address> traceCollector;
    log_options logOptions;
    milliseconds maxStateAge { 2000 };
    double retriesPerRequest { 0.1 };
    double retryReserve { 10 };
    /// Whether this entry takes part in planning placements.
    bool planningEnabled { true };
    placement_planner::options planner;
    /// Baselines that the decisions are measured against.
    bool staticRates { false };
    bool roundRobin { false };
};

/// Reads the settings of an entry.
/// \throws settings_error naming every fault
entry_settings parseEntrySettings(settings_reader& reader);

} // namespace sagesaddle
