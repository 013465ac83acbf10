#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Measurements of one stream of a load test, or of all streams together.
class load_test_result {
public:
    /// Counts a complete answer.
    /// \param firstByte time from the start of the request to the first byte of the answer's body
    /// \param complete time from the start of the request to the end of the answer
    void addSuccess(monotonic_duration firstByte, monotonic_duration complete);

    /// Counts a request that failed.
    /// \param reason reason code of the refusal, or else `status_` and the HTTP status; `connection` where
    /// there was no answer, `broken_stream` where a stream had no end
    void addFailure(const std::string& reason);

    /// Adds the measurements of another stream.
    void merge(const load_test_result& other);

    /// \return JSON with the answered requests, the failures by reason, and p50 and p99 of both times in
    /// milliseconds, null where nothing was answered.
    nlohmann::json formatJson() const;

private:
    std::vector<double> m_firstByteMs;
    std::vector<double> m_completeMs;
    std::map<std::string, std::uint64_t> m_failures;
};

} // namespace sagesaddle
