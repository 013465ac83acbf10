#pragma once

#include "Fleet/pace_table.h"
#include "Route/upstream_choice.h"
#include "Route/upstream_pace.h"

#include <random>
#include <vector>

namespace sagesaddle::testing {

/// \brief Replays a heavy load on engines of different speeds: chunked prefill, interleaved with the token
/// steps of all running streams. Gateways learn of each other's load and samples only with their reports.
struct speed_replay {
    int gateways { 1 };
    /// Whether speeds are learned and the delay of running streams costs.
    bool learns { true };
    double requestsPerSecond { 85 };
    double replaySeconds { 40 };
    /// Time between two reports of a gateway, in milliseconds.
    int reportMilliseconds { 100 };
    /// Time that each of the 12 engines takes for a piece of work, relative to a mean engine.
    std::vector<double> times { 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6 };

    struct outcome {
        int requests { 0 };
        /// Refused, or the first event after more than 500 ms.
        int lateFirst { 0 };
        /// Streams with a gap of more than 300 ms.
        int lateGap { 0 };
        /// Requests by engine.
        std::vector<int> sent;
        /// Factors of the first gateway at the end.
        std::vector<double> factors;
    };
    outcome run() const;
};

} // namespace sagesaddle::testing
