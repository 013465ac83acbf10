#pragma once

#include <csignal>

namespace sagesaddle {

/// \brief Lets one thread wait for SIGTERM or SIGINT, the requests to stop the process.
///
/// Must be constructed before any other thread starts: it blocks both signals in this thread and in all
/// threads started later. It also makes the process ignore SIGPIPE.
class stop_signals {
public:
    stop_signals();

    /// Waits until the process receives SIGTERM or SIGINT.
    void wait() const;

private:
    sigset_t m_signals;
};

} // namespace sagesaddle
