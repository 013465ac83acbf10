#pragma once

#include <cstddef>
#include <memory>

namespace sagesaddle {

/// \brief The worker threads that read and write the frames of all links and servers of a process.
class io_thread_pool {
public:
    /// \param threads how many workers; at least 1
    explicit io_thread_pool(std::size_t threads);

    /// Stops the workers and waits for them.
    ~io_thread_pool();

    io_thread_pool(const io_thread_pool&) = delete;
    io_thread_pool& operator=(const io_thread_pool&) = delete;

    struct impl;
    impl& internals() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
