#pragma once

#include "Route/fair_queue.h"

#include <deque>
#include <set>

namespace sagesaddle {

/// \brief A first come, first served queue: the baseline that fair_queue is measured against.
///
/// It has the interface of fair_queue. It estimates no run times: a request is rejected or dropped only once
/// its deadline has passed, and the expected wait is always 0.
///
/// Performs no I/O and reads no clock; not thread-safe.
class fifo_queue {
public:
    using options = fair_queue::options;

    explicit fifo_queue(options settings);

    queue_decision offer(const queued_request& request, monotonic_time now);
    std::optional<queued_request> startNext(monotonic_time now);
    void finish(std::uint64_t ticket, monotonic_time now);
    void abandon(std::uint64_t ticket) { m_running.erase(ticket); }
    void remove(std::uint64_t ticket);
    std::vector<queued_request> takeExpired(monotonic_time now);
    void setSlots(std::uint32_t slots) { m_options.slots = slots; }
    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t running() const { return m_running.size(); }
    milliseconds expectedWait(priority of, monotonic_time now) const;

private:
    options m_options;
    std::deque<queued_request> m_waiting;
    std::set<std::uint64_t> m_running;
};

} // namespace sagesaddle
