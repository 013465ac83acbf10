#pragma once

#include "Route/fair_queue.h"
#include "Route/fifo_queue.h"

#include <variant>

namespace sagesaddle {

/// \brief The order in which waiting requests are started.
enum class queue_order {
    /// Fair between teams, interactive before batch; see fair_queue.
    Fair,
    /// First come, first served: the baseline that the fair queue is measured against.
    Fifo,
};

/// \brief The queue in front of an upstream, in the configured order.
///
/// Performs no I/O and reads no clock; not thread-safe.
class waiting_queue {
public:
    waiting_queue(queue_order order, const fair_queue::options& settings)
        : m_queue(std::in_place_type<fair_queue>, settings)
    {
        if (order == queue_order::Fifo)
            m_queue.emplace<fifo_queue>(settings);
    }

    /// \brief Calls the function with the queue in use, a fair_queue or a fifo_queue.
    /// \return what the function returned
    template <typename Call> decltype(auto) visit(const Call& call) { return std::visit(call, m_queue); }

    template <typename Call> decltype(auto) visit(const Call& call) const
    {
        return std::visit(call, m_queue);
    }

private:
    std::variant<fair_queue, fifo_queue> m_queue;
};

} // namespace sagesaddle
