#pragma once

#include "Serve/http_server.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace sagesaddle::testing {

/// \brief Records the header fields that a fake receives, so that a test can check that none leaked to it.
class header_recorder {
public:
    /// \brief Records the fields of a request; at most 200 different values of each name.
    void add(const http_call::header_list& headers);

    /// \return the values of each field, by the name in lower case.
    nlohmann::json document() const;

private:
    std::map<std::string, std::set<std::string>> m_values;
};

} // namespace sagesaddle::testing
