#include "Fakes/header_recorder.h"

#include <algorithm>
#include <cctype>

namespace sagesaddle::testing {

namespace {

constexpr std::size_t maxValuesPerName = 200;

} // namespace

void header_recorder::add(const http_call::header_list& headers)
{
    for (const auto& [name, value] : headers) {
        std::string lowerName = name;
        std::transform(lowerName.begin(), lowerName.end(), lowerName.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        auto& values = m_values[lowerName];
        if (values.size() < maxValuesPerName)
            values.insert(value);
    }
}

nlohmann::json header_recorder::document() const
{
    return m_values;
}

} // namespace sagesaddle::testing
