#include "Quarantine/upstream_crash.h"

#include <array>
#include <charconv>

namespace sagesaddle {

std::string formatPartId(std::uint64_t part)
{
    std::array<char, 16> digits {};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), part, 16);
    return { digits.data(), result.ptr };
}

} // namespace sagesaddle
