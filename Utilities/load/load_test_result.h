#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief What one stream of a load run measured, or all of them together.
class load_report {
public:
    /// Counts a whole answer.
    void addAnswer(monotonic_duration firstByte, monotonic_duration whole);

    /// Counts a request that failed.
    /// \param reason code of the refusal, HTTP status or error of the connection
    void addError(const std::string& reason);

    void merge(const load_report& other);

    /// \return counts, errors by reason, and p50 and p99 in milliseconds.
    nlohmann::json document() const;

private:
    std::vector<double> m_firstByteMs;
    std::vector<double> m_wholeMs;
    std::map<std::string, std::uint64_t> m_errors;
};

} // namespace sagesaddle
