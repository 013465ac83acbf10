#pragma once

#include "Base/clock.h"
#include "Base/verdict.h"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Why one request was routed or refused, step by step.
struct decision_record {
    std::string traceId;
    std::string team;
    std::string model;
    std::string service;
    /// Each attempt's upstream with the reason for it, and what came of it.
    std::vector<std::string> steps;
    std::uint16_t status { 0 };
    /// Empty where it was answered.
    std::string reason;
    verdict runVerdict { verdict::NotRun };
    wall_time began;
    milliseconds took { 0 };
};

/// \brief The latest decisions of this process, found by trace id; safe from any thread.
class decision_log {
public:
    explicit decision_log(std::size_t capacity);

    void add(decision_record record);

    /// \return all decisions of the trace that are still known, the oldest first.
    std::vector<decision_record> find(const std::string& traceId) const;

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<decision_record> m_records;
};

} // namespace sagesaddle
