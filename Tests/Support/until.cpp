#include "Support/until.h"

#include <thread>

namespace sagesaddle::testing {

namespace {

constexpr milliseconds pollInterval { 10 };

} // namespace

bool until(const std::function<bool()>& condition, milliseconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace sagesaddle::testing
