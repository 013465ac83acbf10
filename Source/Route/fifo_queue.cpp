#include "Route/fifo_queue.h"

#include <algorithm>

namespace sagesaddle {

fifo_queue::fifo_queue(options settings)
    : m_options(settings)
{
}

queue_decision fifo_queue::offer(const queued_request& request, monotonic_time now)
{
    if (request.deadline <= now)
        return { false, "deadline", 0 };
    if (m_waiting.size() >= m_options.maxWaiting)
        return { false, "queue_full", 1000 };
    m_waiting.push_back(request);
    return { true, "", 0 };
}

std::optional<queued_request> fifo_queue::startNext(monotonic_time)
{
    if (m_waiting.empty() || m_running.size() >= m_options.slots)
        return std::nullopt;
    const queued_request next = m_waiting.front();
    m_waiting.pop_front();
    m_running.insert(next.ticket);
    return next;
}

void fifo_queue::finish(std::uint64_t ticket, monotonic_time)
{
    m_running.erase(ticket);
}

void fifo_queue::remove(std::uint64_t ticket)
{
    std::erase_if(m_waiting, [&](const queued_request& request) { return request.ticket == ticket; });
}

std::vector<queued_request> fifo_queue::takeExpired(monotonic_time now)
{
    std::vector<queued_request> expired;
    std::copy_if(m_waiting.begin(), m_waiting.end(), std::back_inserter(expired),
        [&](const queued_request& request) { return request.deadline <= now; });
    std::erase_if(m_waiting, [&](const queued_request& request) { return request.deadline <= now; });
    return expired;
}

milliseconds fifo_queue::expectedWait(priority, monotonic_time) const
{
    return milliseconds(0);
}

} // namespace sagesaddle
