#pragma once

#include "Record/objects.h"

#include <string>
#include <vector>

namespace sagesaddle::testing {

/// \brief What an operator of a test's fleet declares.
struct fleet_records {
    std::vector<team> teams;
    std::vector<api_key> keys;
    std::vector<model> models;
    std::vector<upstream> upstreams;
    std::vector<route> routes;
    std::vector<placement> placements;
    std::vector<entry_config> entries;

    /// Adds a team with one key whose secret is `secretOf(name)`.
    void addTeam(const std::string& name, double rate, double burst);

    /// Withdraws the keys of a team.
    void withdrawKeys(const std::string& teamName);
};

/// \return the secret of the key that a team got.
std::string secretOf(const std::string& teamName);

/// \return the records as an operator's TOML file.
std::string formatToml(const fleet_records& records);

} // namespace sagesaddle::testing
