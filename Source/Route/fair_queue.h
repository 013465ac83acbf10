#pragma once

#include "Base/clock.h"
#include "Base/priority.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A request that waits for a slot of an upstream.
struct queued_request {
    /// Identifies the request to the caller of the queue; unique among the requests that wait or run.
    std::uint64_t ticket { 0 };
    std::string team;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    /// Estimated tokens of the request; the shares of the teams are measured in them.
    double tokens { 0 };
    monotonic_time arrived;
    /// Time by which the answer must be complete.
    monotonic_time deadline;
};

/// \brief Whether the queue accepted a request.
struct queue_decision {
    bool accepted { false };
    /// Why the request was rejected: `deadline` or `queue_full`; empty where it was accepted.
    std::string reason;
    /// Time after which a retry may be accepted, in milliseconds; 0 where unknown.
    std::uint32_t retryAfterMs { 0 };
};

/// \brief Shares an upstream's slots fairly between teams, by tokens.
///
/// Interactive requests start before batch requests, but waiting batch requests get a guaranteed share of the
/// starts. A request that is not expected to meet its deadline is rejected when it arrives, or dropped as
/// soon as this becomes apparent.
///
/// Performs no I/O and reads no clock; not thread-safe.
class fair_queue {
public:
    struct options {
        /// Requests that the upstream runs at once.
        std::uint32_t slots { 1 };
        /// Requests that may wait; further ones are rejected as `queue_full`.
        std::size_t maxWaiting { 1024 };
        /// Share of the starts that waiting batch requests get, from 0 to 1.
        double batchShare { 0.1 };
    };

    explicit fair_queue(options settings);
    ~fair_queue();

    /// \brief Adds a request to the queue unless it would miss its deadline or the queue is full.
    queue_decision offer(const queued_request& request, monotonic_time now);

    /// \brief Removes the next request from the queue and assigns a slot to it.
    /// \return the request to start, or nothing where no slot is free or no request waits
    std::optional<queued_request> startNext(monotonic_time now);

    /// \brief Frees the slot of a request that was served, and adds its run time to the estimates.
    void finish(std::uint64_t ticket, monotonic_time now);

    /// \brief Frees the slot of a request that was cancelled or failed. Its run time is not added to the
    ///     estimates, because it says nothing about the speed of the upstream.
    void abandon(std::uint64_t ticket);

    /// \brief Removes a waiting request that was cancelled.
    void remove(std::uint64_t ticket);

    /// \brief Removes the waiting requests that can no longer meet their deadline.
    /// \return the removed requests
    std::vector<queued_request> takeExpired(monotonic_time now);

    void setSlots(std::uint32_t slots);

    /// \return the number of requests that wait.
    std::size_t waiting() const;

    /// \return the number of requests that occupy a slot.
    std::size_t running() const;

    /// \return the expected wait of a request that arrives now, of this class and of a team that has no other
    ///     request waiting.
    milliseconds expectedWait(priority of, monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
