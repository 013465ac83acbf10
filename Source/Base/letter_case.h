#pragma once

#include <string>
#include <string_view>

namespace sagesaddle {

/// \return the text with ASCII letters in lower case, for comparing HTTP header names; other bytes stay.
std::string toLowerAscii(std::string_view text);

} // namespace sagesaddle
