#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sagesaddle {

/// Claims that every process remembers; the same in all processes, since the book depends on it.
inline constexpr std::size_t claimCapacity = 100000;

/// How long after its first use an idempotency key that tells no time is sure to be known.
inline constexpr std::chrono::hours opaqueKeyWindow { 24 };

/// How far the clocks of callers and processes may differ.
inline constexpr std::chrono::minutes clockSkewAllowance { 5 };

/// Whether a key may have been used by a claim that is forgotten.
/// \param key the caller's idempotency key
/// \param nowMs wall time in milliseconds since 1970
/// \param forgottenThroughMs latest time of a forgotten claim; 0 where none is forgotten
bool isKeyTooOld(std::string_view key, std::uint64_t nowMs, std::uint64_t forgottenThroughMs);

} // namespace sagesaddle
