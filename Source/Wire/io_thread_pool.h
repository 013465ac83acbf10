#pragma once

#include <cstddef>
#include <memory>

namespace sagesaddle {

/// \brief The threads that run the network I/O and the callbacks of the frame clients and servers of a
/// process.
class io_thread_pool {
public:
    /// \param threads number of threads; 0 counts as 1
    explicit io_thread_pool(std::size_t threads);

    /// Waits until all I/O has ended. The clients and servers that use the pool must have been destroyed
    /// before.
    ~io_thread_pool();

    io_thread_pool(const io_thread_pool&) = delete;
    io_thread_pool& operator=(const io_thread_pool&) = delete;

    struct impl;
    /// For the clients and servers of Wire only.
    impl& internals() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
