#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sagesaddle::testing {

/// \brief A random number for each choice that a step of a history makes.
using history_step = std::vector<std::uint8_t>;

/// Number of choices that a step needs.
inline constexpr std::size_t choicesPerStep = 16;

/// \return records of a small fleet: changes of current and stale revisions, epochs, leases, plans, snapshots
/// of any prefix, repeated ids, unknown kinds and malformed texts.
std::vector<std::string> makeHistory(const std::vector<history_step>& steps);

} // namespace sagesaddle::testing
