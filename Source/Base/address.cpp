#include "Base/address.h"

#include <arpa/inet.h>
#include <charconv>
#include <stdexcept>

namespace sagesaddle {

address parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw std::invalid_argument("address '" + std::string(text) + "' has no port; write it as ip:port");
    address result { std::string(text.substr(0, colon)), 0 };
    in_addr parsed {};
    if (inet_pton(AF_INET, result.ip.c_str(), &parsed) != 1)
        throw std::invalid_argument(
            "address '" + std::string(text) + "' does not start with an IPv4 address");
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    if (error != std::errc() || end != digits.data() + digits.size() || result.port == 0)
        throw std::invalid_argument("address '" + std::string(text) + "' needs a port from 1 to 65535");
    return result;
}

std::string formatAddress(const address& value)
{
    return value.ip + ":" + std::to_string(value.port);
}

} // namespace sagesaddle
