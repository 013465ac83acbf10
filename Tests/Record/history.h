#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sagesaddle::testing {

/// \brief Random numbers that decide one record of a history, one for each choice.
using history_step = std::vector<std::uint8_t>;

/// Number of random numbers that a step needs; missing ones count as 0.
inline constexpr std::size_t choicesPerStep = 16;

/// \return one record for each step, of a small fleet: changes against current and stale revisions, epochs,
/// leases, plans, snapshots of any prefix, repeated ids, unknown kinds and malformed texts.
std::vector<std::string> makeHistory(const std::vector<history_step>& steps);

} // namespace sagesaddle::testing
