#pragma once

#include <string>
#include <vector>

namespace sagesaddle {

/// \return the parts concatenated, with the separator between them.
std::string join(const std::vector<std::string>& parts, const std::string& separator);

} // namespace sagesaddle
