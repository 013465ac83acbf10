#include "Loop/event_loop.h"

#include <ctime>
#include <stdexcept>

namespace sagesaddle {

struct event_loop::signal_handler {
    std::function<void()> handler;
    std::unique_ptr<event, event_deleter> registration;
};

monotonic_time bootTimeNow()
{
    std::timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return monotonic_time(seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

event_loop::event_loop()
    : m_base(event_base_new())
{
    if (!m_base)
        throw std::runtime_error(
            "event loop: cannot create an event base; check the limit of file descriptors");
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::runOnce()
{
    event_base_loop(m_base.get(), EVLOOP_ONCE);
}

void event_loop::stop()
{
    event_base_loopbreak(m_base.get());
}

void event_loop::onSignal(int signal, std::function<void()> handler)
{
    auto entry = std::make_unique<signal_handler>();
    entry->handler = std::move(handler);
    entry->registration.reset(evsignal_new(
        m_base.get(), signal,
        [](evutil_socket_t, short, void* context) { static_cast<signal_handler*>(context)->handler(); },
        entry.get()));
    event_add(entry->registration.get(), nullptr);
    m_signals.push_back(std::move(entry));
}

} // namespace sagesaddle
