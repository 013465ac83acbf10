#include "Support/until.h"

#include <thread>

namespace sagesaddle::testing {

namespace {

constexpr milliseconds pollInterval { 10 };

} // namespace

bool until(const std::function<bool()>& condition, milliseconds timeout)
{
    const auto end = monotonicNow() + timeout;
    while (!condition()) {
        if (monotonicNow() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace sagesaddle::testing
