#pragma once

#include "workload.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace sagesaddle::measure {

/// \brief Outcome of one request of the workload.
struct request_outcome {
    /// Time since the start of the workload.
    milliseconds sentAt { 0 };
    /// From sending the request to the end of its answer, or to its failure.
    double wholeMs { 0 };
    /// HTTP status; 0 where there was no answer.
    std::uint16_t status { 0 };
    /// Reason code of a refusal, `no_answer` where there was no answer; else empty.
    std::string reason;
    /// Verdict of a refusal: whether the request may have run.
    std::string verdict;
};

/// \brief Counts of the fake engines and services.
struct fleet_counts {
    /// Loads of models and adapters.
    std::uint64_t moves { 0 };
    /// Engines that at some time used more memory than they have.
    std::uint64_t overcommits { 0 };
    /// Idempotency keys whose call ran more than once.
    std::uint64_t executedTwice { 0 };
};

/// Summarizes a run.
/// \param faultPeriods times since the start of the workload in which a fault had effects
/// \return the run's measures as one JSON object
nlohmann::ordered_json summarize(const deployment& sizes, const workload& load,
    const std::vector<request_outcome>& outcomes, const fleet_counts& counts,
    const std::vector<std::pair<milliseconds, milliseconds>>& faultPeriods);

/// Writes the outcome of each request as a JSON line.
/// \throws std::runtime_error naming a file that cannot be written
void writeOutcomes(
    const std::string& file, const workload& load, const std::vector<request_outcome>& outcomes);

} // namespace sagesaddle::measure
