#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sagesaddle {

/// Maximum number of claims that a process remembers; the same in all processes, since the result of a claim
/// depends on it.
inline constexpr std::size_t claimCapacity = 100000;

/// Time after its first use for which an idempotency key without a time in it is never taken for a new one.
inline constexpr std::chrono::hours opaqueKeyWindow { 24 };

/// Maximum difference between the clocks of callers and processes.
inline constexpr std::chrono::minutes maxClockSkew { 5 };

/// \param key the caller's idempotency key
/// \param nowMs wall time in milliseconds since 1970
/// \param forgottenThroughMs latest time of a forgotten claim, in milliseconds since 1970; 0 where none was
///        forgotten
/// \return whether the key may have been used by a claim that was forgotten.
bool isKeyTooOld(std::string_view key, std::uint64_t nowMs, std::uint64_t forgottenThroughMs);

} // namespace sagesaddle
