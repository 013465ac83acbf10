#pragma once

#include "Base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

namespace sagesaddle {

/// \brief Runs an action again and again on a thread of its own.
///
/// The waits vary by a quarter, so that processes that started together do not stay in step.
class periodic_task {
public:
    periodic_task(milliseconds period, std::function<void()> action);
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
