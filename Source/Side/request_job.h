#pragma once

#include "Base/clock.h"
#include "Watch/trace_context.h"
#include "Wire/frame_server.h"
#include "Wire/messages.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace sagesaddle {

/// \brief A request that a side process has received and has not ended.
struct request_job {
    /// Identifies the job in this process; set by job_table.
    std::uint64_t ticket { 0 };
    /// The connection to the entry that sent the request.
    connection_id connection { 0 };
    request_message request;
    monotonic_time arrived;
    monotonic_time deadline;
    wall_time arrivedWallTime;
    /// Span of the entry.
    trace_context parent;
    /// Span of this process, a child of the entry's.
    trace_context span;
    /// The entry no longer waits for the answer.
    std::atomic<bool> cancelled { false };
    /// The connection to the entry is closed.
    std::atomic<bool> disconnected { false };
    /// A frame had to wait because the send queue of the connection was full. Used only by the worker that
    /// runs the request.
    bool waitedForEntry { false };
};

/// \return a job for a request that arrived now; its ticket is not set yet.
std::shared_ptr<request_job> makeRequestJob(connection_id connection, request_message request);

} // namespace sagesaddle
