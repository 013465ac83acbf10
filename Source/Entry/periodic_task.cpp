#include "Entry/periodic_task.h"

namespace sagesaddle {

periodic_task::periodic_task(milliseconds period, std::function<void()> action)
    : m_period(period)
    , m_action(std::move(action))
    , m_thread([this] { run(); })
{
}

periodic_task::~periodic_task()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopped.notify_all();
    m_thread.join();
}

milliseconds periodic_task::nextWait()
{
    const auto quarter = m_period.count() / 4;
    std::uniform_int_distribution<milliseconds::rep> spread(
        m_period.count() - quarter, m_period.count() + quarter);
    return milliseconds(spread(m_random));
}

void periodic_task::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped.wait_for(lock, nextWait(), [this] { return m_stopping; })) {
        lock.unlock();
        m_action();
        lock.lock();
    }
}

} // namespace sagesaddle
