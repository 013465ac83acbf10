#pragma once

#include "Route/fair_queue.h"
#include "Route/fifo_queue.h"

#include <variant>

namespace sagesaddle {

/// \brief How waiting requests are ordered.
enum class queue_order {
    /// Fair between teams, by class and deadline.
    Fair,
    /// First come, first served: the baseline that the other is measured against.
    Fifo,
};

/// \brief The queue in front of an upstream, in either order; pure, one thread at a time.
class waiting_queue {
public:
    waiting_queue(queue_order order, const fair_queue::options& settings)
        : m_queue(std::in_place_type<fair_queue>, settings)
    {
        if (order == queue_order::Fifo)
            m_queue.emplace<fifo_queue>(settings);
    }

    /// Calls the queue in use.
    template <typename Call> decltype(auto) visit(const Call& call) { return std::visit(call, m_queue); }

    template <typename Call> decltype(auto) visit(const Call& call) const
    {
        return std::visit(call, m_queue);
    }

private:
    std::variant<fair_queue, fifo_queue> m_queue;
};

} // namespace sagesaddle
