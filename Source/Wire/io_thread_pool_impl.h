#pragma once

#include "Wire/io_thread_pool.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <thread>
#include <vector>

namespace sagesaddle {

/// \brief The event loop of an io_thread_pool, for the clients and servers that run on it.
struct io_thread_pool::impl {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work { asio::make_work_guard(context) };
    std::vector<std::thread> threads;
};

} // namespace sagesaddle
