#include "Side/request_job.h"

#include <utility>

namespace sagesaddle {

std::shared_ptr<request_job> makeRequestJob(connection_id connection, request_message request)
{
    auto job = std::make_shared<request_job>();
    job->connection = connection;
    job->arrived = monotonicNow();
    job->deadline = job->arrived + milliseconds(request.deadlineMs);
    job->arrivedWallTime = std::chrono::system_clock::now();
    job->parent = parseTraceparent(request.traceparent).value_or(startTrace());
    job->span = childOf(job->parent);
    job->request = std::move(request);
    return job;
}

} // namespace sagesaddle
