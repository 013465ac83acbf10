#pragma once

#include <string>
#include <string_view>

namespace sagesaddle {

/// \return the SHA-256 of the bytes in lower-case hexadecimal.
std::string sha256Hex(std::string_view bytes);

} // namespace sagesaddle
