#pragma once

#include "Fleet/fleet_config.h"

#include <string_view>
#include <unordered_map>

namespace sagesaddle {

/// \brief Looks up routes, keys and services of one configuration version; immutable.
class route_table {
public:
    explicit route_table(fleet_config_ptr config);

    const fleet_config& config() const { return *m_config; }

    /// \return the route of that host with the longest prefix of the target's path, or nullptr.
    const route_config* findRoute(std::string_view host, std::string_view target) const;

    /// \return the team that holds the key, or nullptr.
    const team_config* findTeam(const std::string& key) const;
    const service_config* findService(const std::string& name) const;

    /// \return the service for a request, drawn by the targets' weights.
    /// \param draw from 0 to 1
    static const std::string* pickTarget(const route_config& route, double draw);

private:
    fleet_config_ptr m_config;
    std::unordered_map<std::string, const route_config*> m_routes;
    std::unordered_map<std::string, const team_config*> m_teams;
    std::unordered_map<std::string, const service_config*> m_services;
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace sagesaddle
