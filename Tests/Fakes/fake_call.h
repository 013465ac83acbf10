#pragma once

#include "Base/clock.h"
#include "Serve/http_server.h"

#include <string>
#include <string_view>

namespace sagesaddle::testing {

/// Largest body that a fake reads; above all limits of the programs under test.
inline constexpr std::size_t maxBodyBytes = 64U * 1024 * 1024;
/// Longest time for which a fake holds an answer back, so that a failed test ends.
inline constexpr seconds maxHoldTime { 30 };

/// \return the first value of a header field; empty where the request has none.
std::string firstHeader(const http_call& call, std::string_view name);

} // namespace sagesaddle::testing
