#include "Wire/io_thread_pool.h"

#include "Wire/io_thread_pool_impl.h"

#include <algorithm>

namespace sagesaddle {

io_thread_pool::io_thread_pool(std::size_t threads)
    : m_impl(std::make_unique<impl>())
{
    for (std::size_t i = 0; i < std::max<std::size_t>(threads, 1); ++i)
        m_impl->threads.emplace_back([this] { m_impl->context.run(); });
}

io_thread_pool::~io_thread_pool()
{
    // All clients and servers have been destroyed, so the event loop ends as soon as their sockets are
    // closed.
    m_impl->work.reset();
    for (std::thread& thread : m_impl->threads)
        thread.join();
}

} // namespace sagesaddle
