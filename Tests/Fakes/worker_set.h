#pragma once

#include "Base/clock.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace sagesaddle::testing {

/// \brief Worker threads of a fake, one for each piece of work; the destructor waits for them.
class worker_set {
public:
    worker_set() = default;
    worker_set(const worker_set&) = delete;
    worker_set& operator=(const worker_set&) = delete;

    ~worker_set()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        for (worker& value : m_workers)
            value.thread.join();
    }

    /// \brief Runs the work on a new thread.
    void run(std::function<void()> work)
    {
        const std::lock_guard lock(m_mutex);
        m_workers.remove_if([](worker& value) {
            if (value.ended)
                value.thread.join();
            return value.ended;
        });
        worker& added = m_workers.emplace_back();
        added.thread = std::thread([this, &added, work = std::move(work)] {
            work();
            const std::lock_guard ending(m_mutex);
            added.ended = true;
        });
    }

    /// \brief Sleeps on a worker thread, for a shorter time where the destructor was called.
    /// \return false where it was called
    bool sleepFor(milliseconds duration)
    {
        std::unique_lock lock(m_mutex);
        return !m_changed.wait_for(lock, duration, [this] { return m_stopping; });
    }

private:
    struct worker {
        std::thread thread;
        bool ended { false };
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping { false };
    std::list<worker> m_workers;
};

} // namespace sagesaddle::testing
