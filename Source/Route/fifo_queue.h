#pragma once

#include "Route/fair_queue.h"

#include <deque>
#include <set>

namespace sagesaddle {

/// \brief First come, first served behind the calls of fair_queue; pure, one thread at a time.
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
