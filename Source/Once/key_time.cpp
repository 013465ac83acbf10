#include "Once/key_time.h"

#include <cctype>
#include <charconv>
#include <string>

namespace sagesaddle {

namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;

bool isDashPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

bool isUuidVersion7(std::string_view key)
{
    if (key.size() != uuidLength)
        return false;
    for (std::size_t i = 0; i < key.size(); ++i) {
        const bool isValid
            = isDashPosition(i) ? key[i] == '-' : std::isxdigit(static_cast<unsigned char>(key[i])) != 0;
        if (!isValid)
            return false;
    }
    constexpr std::string_view variants = "89abAB";
    return key[versionPosition] == '7' && variants.find(key[variantPosition]) != std::string_view::npos;
}

} // namespace

std::optional<std::uint64_t> keyTimeMs(std::string_view key)
{
    if (!isUuidVersion7(key))
        return std::nullopt;
    const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    std::uint64_t time = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), time, 16);
    return time;
}

} // namespace sagesaddle
