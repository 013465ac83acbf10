#pragma once

#include "Loop/event_loop.h"

namespace sagesaddle {

/// \brief Calls a handler once after a delay; started again, the earlier start is void.
class timer {
public:
    timer(event_loop& loop, std::function<void()> handler);

    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    void start(monotonic_duration delay);
    void stop();
    bool isRunning() const;

private:
    std::function<void()> m_handler;
    std::unique_ptr<event, event_deleter> m_event;
};

} // namespace sagesaddle
