#pragma once

#include <string>
#include <string_view>

namespace sagesaddle {

/// \return the text in lower case; only ASCII letters change, as header names need.
std::string toLowerAscii(std::string_view text);

} // namespace sagesaddle
