#pragma once

#include <utility>

namespace sagesaddle {

/// \brief Runs a clean-up action when the scope ends, unless the guard was dismissed.
template <typename Action> class scope_guard {
public:
    explicit scope_guard(Action action)
        : m_action(std::move(action))
    {
    }

    ~scope_guard()
    {
        if (m_isActive)
            m_action();
    }

    scope_guard(const scope_guard&) = delete;
    scope_guard& operator=(const scope_guard&) = delete;

    /// Cancels the action: nothing runs at the end of the scope.
    void dismiss() { m_isActive = false; }

private:
    Action m_action;
    bool m_isActive { true };
};

} // namespace sagesaddle
