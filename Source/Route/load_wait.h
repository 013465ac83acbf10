#pragma once

#include "Base/clock.h"

#include <compare>
#include <cstddef>

namespace sagesaddle {

/// \brief A request whose model no upstream has loaded.
struct unloaded_model_request {
    /// Time from the order to load the model until requests can be sent.
    milliseconds loadTime { 0 };
    /// Time until the request's deadline.
    milliseconds timeLeft { 0 };
    /// Time since its arrival.
    milliseconds waitedFor { 0 };
    /// Number of requests that wait at this gateway.
    std::size_t waiting { 0 };

    auto operator<=>(const unloaded_model_request&) const = default;
};

/// Requests that may wait at one gateway for upstreams, models or credit to send.
inline constexpr std::size_t maxLoadWaits = 256;

/// Decides whether a request waits while its model is loaded, rather than being refused and coming back.
///
/// A caller that is refused comes back after at most a third of the time that it has left. A request
/// therefore waits only if the load is expected to end within that time; a longer load is better met by a
/// refusal at once, which tells the caller when to come back.
///
/// Performs no I/O and reads no clock.
bool mayWaitForLoad(const unloaded_model_request& request);

} // namespace sagesaddle
