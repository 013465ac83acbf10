#pragma once

#include <mutex>
#include <shared_mutex>

namespace sagesaddle {

/// \brief Lets callbacks run until it is closed, and closing waits for those that run.
///
/// The owner of the callbacks closes it before its state goes away. Never closed from a callback.
class callback_gate {
public:
    /// Runs the action unless the gate is closed; no callback calls another within.
    template <typename Action> void run(Action&& action)
    {
        const std::shared_lock lock(m_mutex);
        if (!m_closed)
            action();
    }

    /// Waits for the running callbacks; none runs afterwards.
    void close()
    {
        const std::unique_lock lock(m_mutex);
        m_closed = true;
    }

private:
    std::shared_mutex m_mutex;
    bool m_closed { false };
};

} // namespace sagesaddle
