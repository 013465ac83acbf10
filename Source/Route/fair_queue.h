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
    /// The queue's user knows the request by it.
    std::uint64_t ticket { 0 };
    std::string team;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    double tokens { 0 };
    monotonic_time arrived;
    monotonic_time deadline;
};

/// \brief What became of a request that was offered to the queue.
struct queue_decision {
    bool accepted { false };
    /// Empty where accepted; else `deadline` or `queue_full`.
    std::string reason;
    std::uint32_t retryAfterMs { 0 };
};

/// \brief Shares an upstream's slots fairly between teams by tokens; pure, one thread at a time.
///
/// Interactive requests go before batch, yet batch keeps a share of its own. A request that cannot
/// make its deadline is refused when it comes, or dropped as soon as that shows.
class fair_queue {
public:
    struct options {
        std::uint32_t slots { 1 };
        std::size_t maxWaiting { 1024 };
        /// Share of the starts that waiting batch requests get, from 0 to 1.
        double batchShare { 0.1 };
    };

    explicit fair_queue(options settings);
    ~fair_queue();

    queue_decision offer(const queued_request& request, monotonic_time now);

    /// \return the next request to start, or nothing where no slot is free or none waits.
    std::optional<queued_request> startNext(monotonic_time now);

    /// A started request was served and frees its slot; its time tells how fast the upstream is.
    void finish(std::uint64_t ticket, monotonic_time now);

    /// A started request frees its slot, and its time tells nothing of the upstream: it was cancelled or
    /// failed.
    void abandon(std::uint64_t ticket);

    /// A waiting request was cancelled.
    void remove(std::uint64_t ticket);

    /// \return waiting requests that can no longer make their deadline; they are out of the queue.
    std::vector<queued_request> takeExpired(monotonic_time now);

    void setSlots(std::uint32_t slots);

    std::size_t waiting() const;
    std::size_t running() const;

    /// \return the expected wait of a request of this class that came now.
    milliseconds expectedWait(priority of, monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
