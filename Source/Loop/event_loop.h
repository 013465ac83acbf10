#pragma once

#include "Base/clock.h"

#include <event2/event.h>
#include <functional>
#include <memory>
#include <vector>

namespace sagesaddle {

/// \brief Frees libevent's objects.
struct event_deleter {
    void operator()(event_base* base) const { event_base_free(base); }
    void operator()(event* value) const { event_free(value); }
};

/// \return the time on a clock that counts suspension; for evidence and leases, whose age must grow while
/// the host stands still.
monotonic_time bootTimeNow();

/// \brief One thread's loop over sockets, timers and signals.
class event_loop {
public:
    /// \throws std::runtime_error where the system refuses the loop
    event_loop();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop().
    void run();
    void stop();
    /// Waits for events once and handles them.
    void runOnce();

    /// Calls the handler for each arrival of a signal.
    void onSignal(int signal, std::function<void()> handler);

    event_base* native() const { return m_base.get(); }

private:
    struct signal_handler;

    std::unique_ptr<event_base, event_deleter> m_base;
    std::vector<std::unique_ptr<signal_handler>> m_signals;

public:
    ~event_loop();
};

} // namespace sagesaddle
