#pragma once

#include "Loop/event_loop.h"

namespace sagesaddle {

/// \brief Calls a handler on the event loop once after a delay. A new start replaces the earlier one.
class timer {
public:
    timer(event_loop& loop, std::function<void()> handler);

    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Calls the handler after the delay, which counts as 0 if it is negative.
    void start(monotonic_duration delay);
    void stop();
    /// \return whether the timer was started and the handler is still to be called.
    bool isRunning() const;

private:
    std::function<void()> m_handler;
    std::unique_ptr<event, event_deleter> m_event;
};

} // namespace sagesaddle
