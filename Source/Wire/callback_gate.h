#pragma once

#include <mutex>
#include <shared_mutex>

namespace sagesaddle {

/// \brief Runs callbacks until it is closed; close() waits for the running ones.
///
/// The owner of the callbacks must close the gate before it destroys the state that they use, and never from
/// within a callback, since close() would then wait for itself.
class callback_gate {
public:
    /// Runs the action unless the gate is closed. An action must not call run() again.
    template <typename Action> void run(Action&& action)
    {
        const std::shared_lock lock(m_mutex);
        if (!m_closed)
            action();
    }

    /// Waits for the running callbacks and prevents further ones.
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
