#pragma once

#include "Serve/http_server.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace sagesaddle::testing {

/// \brief Remembers the header fields that reached a stand-in, so that a test sees what leaked.
class header_recorder {
public:
    void add(const http_call::header_list& headers);

    /// \return the values by name in lower case.
    nlohmann::json document() const;

private:
    std::map<std::string, std::set<std::string>> m_values;
};

} // namespace sagesaddle::testing
