#pragma once

#include "workload.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace sagesaddle::measure {

/// \brief What became of one request of the trace.
struct request_outcome {
    /// Since the start of the trace.
    milliseconds sentAt { 0 };
    double wholeMs { 0 };
    std::uint16_t status { 0 };
    /// Reason code of a refusal, or the client's error.
    std::string reason;
    std::string verdict;
};

/// \brief What the stand-ins counted.
struct fleet_counts {
    std::uint64_t moves { 0 };
    std::uint64_t overcommits { 0 };
    std::uint64_t executedTwice { 0 };
};

/// Sums up a run.
/// \param faulty spans of the trace in which a fault was at work
/// \return the run's measures as one JSON document
nlohmann::ordered_json tally(const deployment& of, const trace& given,
    const std::vector<request_outcome>& outcomes, const fleet_counts& counts,
    const std::vector<std::pair<milliseconds, milliseconds>>& faulty);

/// Writes what became of each request, a JSON line each.
/// \throws std::runtime_error naming a file that cannot be written
void writeOutcomes(const std::string& file, const trace& given, const std::vector<request_outcome>& outcomes);

} // namespace sagesaddle::measure
