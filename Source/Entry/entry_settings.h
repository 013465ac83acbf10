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

/// \brief Limits of requests and their answers.
struct request_limits {
    std::size_t maxBodyBytes { std::size_t { 4 } << 20U };
    /// Size up to which an answer that is not streamed is buffered, so that one that breaks off becomes a
    /// refusal.
    std::size_t maxHeldAnswerBytes { std::size_t { 8 } << 20U };
    /// Limit of answer tokens for a chat request that sets none.
    std::uint32_t defaultAnswerTokens { 1024 };
    /// Largest limit of answer tokens that a chat request may set.
    std::uint32_t maxAnswerTokens { 32768 };
    /// Tokens charged for a call of a service that is not a model.
    std::uint32_t serviceCallTokens { 10 };
    /// Timeouts of chat requests that set none, by priority.
    milliseconds interactiveTimeout { 60000 };
    milliseconds batchTimeout { 600000 };
    /// Longest timeout that a request may set.
    milliseconds maxTimeout { 3600000 };

    auto operator<=>(const request_limits&) const = default;
};

/// \brief The settings of an entry process.
struct entry_settings {
    /// Name of this entry in the records.
    std::string name;
    std::string region;
    std::string zone;

    address callerListenAddress;
    /// Worker threads that answer callers, one for each request in progress.
    std::uint32_t workers { 512 };
    /// TLS certificate of the callers' listener; empty for plain HTTP.
    std::string certificateFile;
    request_limits limits;
    /// Time within which the body of a request must be received.
    milliseconds bodyTimeout { 10000 };
    /// Time in a drain between reporting not ready and rejecting new requests, for the load balancer to
    /// react.
    milliseconds drainDelay { 2000 };
    /// Time after that for running requests to end.
    milliseconds drainTimeout { 60000 };

    address adminListenAddress;
    address peerListenAddress;
    /// Entries to ask for the state before this entry has any records.
    std::vector<address> seedPeers;
    address logAddress;
    /// The platform's list of hosts; not polled if empty.
    std::optional<address> hostListAddress;
    milliseconds hostListPeriod { 500 };
    /// Collector that receives spans; none are sent if empty.
    std::optional<address> traceCollector;
    log_options logOptions;
    /// Age of the newest confirmation up to which the state may be acted upon.
    milliseconds maxStateAge { 2000 };
    /// Retries that each request adds to the retry budget.
    double retriesPerRequest { 0.1 };
    /// Maximum number of retries in the budget, which starts with this many.
    double retryReserve { 10 };
    /// Whether this entry may acquire the planner lease and plan placements.
    bool planningEnabled { true };
    placement_planner::options planner;
    /// Baselines for measurements: fixed parts of the rates instead of shared ones, and round-robin routing.
    bool staticRates { false };
    bool roundRobin { false };
};

/// Reads the settings of an entry.
/// \throws settings_error that lists every error in the settings
entry_settings parseEntrySettings(settings_reader& reader);

} // namespace sagesaddle
