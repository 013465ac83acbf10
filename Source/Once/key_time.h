#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sagesaddle {

/// \return when an idempotency key was made, in milliseconds since 1970, if it is a UUID of version 7
///         (RFC 9562); nothing for any other key.
std::optional<std::uint64_t> keyTimeMs(std::string_view key);

} // namespace sagesaddle
