#include "Base/join.h"

namespace sagesaddle {

std::string join(const std::vector<std::string>& parts, const std::string& separator)
{
    std::string text;
    for (const auto& part : parts)
        text += (text.empty() ? "" : separator) + part;
    return text;
}

} // namespace sagesaddle
