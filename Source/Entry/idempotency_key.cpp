#include "Entry/idempotency_key.h"

#include <cstdint>
#include <random>
#include <string_view>

namespace sagesaddle {

namespace {

constexpr std::uint64_t versionBits = 0x7000;
constexpr std::uint64_t variantBits = 0x8000000000000000;

std::string toHex(std::uint64_t value)
{
    std::string text(16, '0');
    for (std::size_t digit = text.size(); digit > 0; --digit, value >>= 4U)
        text[digit - 1] = "0123456789abcdef"[value & 15U];
    return text;
}

std::uint64_t randomBits()
{
    static thread_local std::mt19937_64 generator { (std::uint64_t { std::random_device {}() } << 32U)
        ^ std::random_device {}() };
    return generator();
}

} // namespace

std::string makeIdempotencyKey(wall_time now)
{
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    const std::uint64_t high
        = (static_cast<std::uint64_t>(sinceEpoch) << 16U) | versionBits | (randomBits() & 0x0fffU);
    const std::uint64_t low = variantBits | (randomBits() >> 2U);
    const std::string digits = toHex(high) + toHex(low);
    return digits.substr(0, 8) + "-" + digits.substr(8, 4) + "-" + digits.substr(12, 4) + "-"
        + digits.substr(16, 4) + "-" + digits.substr(20);
}

} // namespace sagesaddle
