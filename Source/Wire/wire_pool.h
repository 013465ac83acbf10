#pragma once

#include <cstddef>
#include <memory>

namespace sagesaddle {

/// \brief The worker threads that read and write the frames of all links and servers of a process.
class wire_pool {
public:
    /// \param threads how many workers; at least 1
    explicit wire_pool(std::size_t threads);

    /// Stops the workers and waits for them.
    ~wire_pool();

    wire_pool(const wire_pool&) = delete;
    wire_pool& operator=(const wire_pool&) = delete;

    struct impl;
    impl& internals() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
