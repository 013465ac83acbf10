#pragma once

#include <array>

namespace sagesaddle {

/// Texts in the place of an answer's status that are no number of three digits from 100 to 599.
inline constexpr std::array<const char*, 7> damagedStatuses { "000", "0", "001", "099", "999", "+20", "2x0" };

} // namespace sagesaddle
