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

/// \brief How one request was routed or refused, step by step, for `/admin/explain`.
struct decision_record {
    std::string traceId;
    std::string team;
    std::string model;
    std::string service;
    /// What was decided, in order: the tokens charged, and for each attempt the upstream, the reason for
    /// choosing it and its failure.
    std::vector<std::string> steps;
    /// HTTP status sent to the caller; 0 if none was.
    std::uint16_t status { 0 };
    /// Reason of the refusal; empty if the request was answered.
    std::string reason;
    /// Whether the request was answered, may have run or did not run.
    verdict runVerdict { verdict::NotRun };
    wall_time began;
    milliseconds took { 0 };
};

/// \brief Keeps the latest decisions of this process, searchable by trace id. Thread-safe.
class decision_log {
public:
    /// \param capacity number of decisions kept; the oldest one is evicted first
    explicit decision_log(std::size_t capacity);

    /// Adds the decision of a request that has ended.
    void add(decision_record record);

    /// \return the decisions of the trace that are still kept, the oldest first.
    std::vector<decision_record> find(const std::string& traceId) const;

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<decision_record> m_records;
};

} // namespace sagesaddle
