#include "Base/stop_signals.h"

#include <pthread.h>

namespace sagesaddle {

stop_signals::stop_signals()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void stop_signals::wait() const
{
    int received = 0;
    sigwait(&m_signals, &received);
}

} // namespace sagesaddle
