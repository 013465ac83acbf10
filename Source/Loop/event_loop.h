#pragma once

#include "Base/clock.h"

#include <event2/event.h>
#include <functional>
#include <memory>
#include <vector>

namespace sagesaddle {

/// \brief Deleter for libevent's objects.
struct event_deleter {
    void operator()(event_base* base) const { event_base_free(base); }
    void operator()(event* value) const { event_free(value); }
};

/// \return the time on the boot-time clock, which goes on while the host is suspended. It is for
/// confirmations, leases and the like, whose age must grow during that time.
monotonic_time bootTimeNow();

/// \brief Event loop over sockets, timers and signals. One thread runs it; all objects on the loop belong to
/// that thread.
class event_loop {
public:
    /// \throws std::runtime_error if the system cannot create the loop
    event_loop();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop() is called, also while there is nothing to wait for.
    void run();
    /// Ends run() after the handler that is running.
    void stop();
    /// Waits until events occur, handles them and returns.
    void runOnce();

    /// Calls the handler on the loop each time that the process receives the signal.
    void onSignal(int signal, std::function<void()> handler);

    /// \return libevent's object of the loop.
    event_base* native() const { return m_base.get(); }

private:
    struct signal_handler;

    std::unique_ptr<event_base, event_deleter> m_base;
    std::vector<std::unique_ptr<signal_handler>> m_signals;

public:
    ~event_loop();
};

} // namespace sagesaddle
