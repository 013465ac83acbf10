#pragma once

#include <csignal>

namespace sagesaddle {

/// \brief SIGTERM and SIGINT as a request to stop, for one thread to wait for.
///
/// To be made before any other thread: the signals are blocked in all threads to come. SIGPIPE is ignored.
class stop_signals {
public:
    stop_signals();

    /// Waits until the process is asked to stop.
    void wait() const;

private:
    sigset_t m_signals;
};

} // namespace sagesaddle
