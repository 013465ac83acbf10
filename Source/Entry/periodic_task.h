#pragma once

#include "Base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

namespace sagesaddle {

/// \brief Runs an action repeatedly on its own thread.
///
/// Each wait varies randomly by up to a quarter of the period, so that processes that were started together
/// do not run their actions at the same time.
class periodic_task {
public:
    /// \param period mean wait between the end of one run and the start of the next
    /// \param action must not throw
    periodic_task(milliseconds period, std::function<void()> action);
    /// Waits for a running action to end.
    ~periodic_task();

    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;

private:
    void run();
    milliseconds nextWait();

    const milliseconds m_period;
    const std::function<void()> m_action;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_stopping { false };
    std::minstd_rand m_random { std::random_device {}() };
    std::thread m_thread;
};

} // namespace sagesaddle
