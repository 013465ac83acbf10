#pragma once

#include "Fleet/fleet_config.h"

#include <string_view>
#include <unordered_map>

namespace sagesaddle {

/// \brief Looks up the routes, teams and services of one version of the configuration; immutable.
class route_table {
public:
    /// \param config must not be null
    explicit route_table(fleet_config_ptr config);

    const fleet_config& config() const { return *m_config; }

    /// \param target request target; anything from its first `?` on is ignored
    /// \return the route of that host whose path prefix is the longest that the target begins with, or
    /// nullptr if there is none. Only prefixes that end with `/` are found.
    const route_config* findRoute(std::string_view host, std::string_view target) const;

    /// \return the team with that API key, or nullptr if there is none.
    const team_config* findTeam(const std::string& key) const;
    /// \return the service with that name, or nullptr if there is none.
    const service_config* findService(const std::string& name) const;

    /// \param draw uniform random number from 0 to 1
    /// \return the service for a request, drawn by the weights of the route's targets, or nullptr if the
    /// route has no targets.
    static const std::string* pickTarget(const route_config& route, double draw);

private:
    fleet_config_ptr m_config;
    /// By host and path prefix.
    std::unordered_map<std::string, const route_config*> m_routes;
    /// By API key.
    std::unordered_map<std::string, const team_config*> m_teams;
    /// By name.
    std::unordered_map<std::string, const service_config*> m_services;
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace sagesaddle
