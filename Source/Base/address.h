#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief An IPv4 address and a TCP port.
struct address {
    std::string ip;
    std::uint16_t port { 0 };

    auto operator<=>(const address&) const = default;
};

/// \brief Parses an address written as `ip:port`.
/// \param text an IPv4 address in dotted form, a colon and a port from 1 to 65535
/// \throws std::invalid_argument if the text is invalid; the message quotes the text and says what is wrong
address parseAddress(std::string_view text);

/// \return the address as `ip:port`.
std::string formatAddress(const address& value);

} // namespace sagesaddle
