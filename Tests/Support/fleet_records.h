#pragma once

#include "Record/objects.h"

#include <string>
#include <vector>

namespace sagesaddle::testing {

/// \brief The objects that the operator of a test's fleet declares.
struct fleet_records {
    std::vector<team> teams;
    std::vector<api_key> keys;
    std::vector<model> models;
    std::vector<upstream> upstreams;
    std::vector<route> routes;
    std::vector<placement> placements;
    std::vector<entry_config> entries;

    /// \brief Adds a team with one API key, whose secret is `secretOf(name)`.
    /// \param rate rate limit in tokens per second
    /// \param burst in tokens
    void addTeam(const std::string& name, double rate, double burst);

    /// \brief Marks all API keys of a team as withdrawn.
    void withdrawKeys(const std::string& teamName);
};

/// \return the secret of the API key that addTeam() gives to a team.
std::string secretOf(const std::string& teamName);

/// \return the records as a TOML file, as operators write it.
std::string formatToml(const fleet_records& records);

} // namespace sagesaddle::testing
