#pragma once

#include "Base/clock.h"
#include "Watch/trace_context.h"
#include "Wire/frame_server.h"
#include "Wire/messages.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace sagesaddle {

/// \brief A request that a side process has taken on.
struct request_job {
    std::uint64_t ticket { 0 };
    connection_id connection { 0 };
    request_message request;
    monotonic_time arrived;
    monotonic_time deadline;
    wall_time arrivedWallTime;
    /// The entry's span.
    trace_context parent;
    /// This hop.
    trace_context span;
    /// Nobody waits for the answer any more.
    std::atomic<bool> cancelled { false };
    /// The connection to the entry is gone.
    std::atomic<bool> disconnected { false };
    /// The entry took a frame late; used by the worker that runs the request only.
    bool waitedForEntry { false };
};

/// \return a job for a request that came now; its ticket is yet to be given.
std::shared_ptr<request_job> makeRequestJob(connection_id connection, request_message request);

} // namespace sagesaddle
