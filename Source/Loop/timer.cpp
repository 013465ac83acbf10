#include "Loop/timer.h"

#include <algorithm>

namespace sagesaddle {

timer::timer(event_loop& loop, std::function<void()> handler)
    : m_handler(std::move(handler))
    , m_event(evtimer_new(
          loop.native(),
          [](evutil_socket_t, short, void* context) { static_cast<timer*>(context)->m_handler(); }, this))
{
}

void timer::start(monotonic_duration delay)
{
    const auto microseconds
        = std::chrono::duration_cast<std::chrono::microseconds>(std::max(delay, monotonic_duration::zero()));
    timeval value {};
    value.tv_sec = microseconds.count() / 1000000;
    value.tv_usec = microseconds.count() % 1000000;
    evtimer_add(m_event.get(), &value);
}

void timer::stop()
{
    evtimer_del(m_event.get());
}

bool timer::isRunning() const
{
    return evtimer_pending(m_event.get(), nullptr) != 0;
}

} // namespace sagesaddle
