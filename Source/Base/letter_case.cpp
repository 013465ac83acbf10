#include "Base/letter_case.h"

#include <algorithm>
#include <cctype>

namespace sagesaddle {

std::string toLowerAscii(std::string_view text)
{
    std::string result(text);
    std::transform(
        result.begin(), result.end(), result.begin(), [](unsigned char c) { return std::tolower(c); });
    return result;
}

} // namespace sagesaddle
