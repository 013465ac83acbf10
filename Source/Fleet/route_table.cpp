#include "Fleet/route_table.h"

namespace sagesaddle {

namespace {

// Neither a host nor a path contains a line break, so different pairs have different keys.
std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += '\n';
    key += prefix;
    return key;
}

} // namespace

route_table::route_table(fleet_config_ptr config)
    : m_config(std::move(config))
{
    for (const auto& route : m_config->routes)
        m_routes.emplace(routeKey(route.host, route.pathPrefix), &route);
    for (const auto& team : m_config->teams) {
        for (const auto& key : team.apiKeys)
            m_teams.emplace(key, &team);
    }
    for (const auto& service : m_config->services)
        m_services.emplace(service.name, &service);
}

const route_config* route_table::findRoute(std::string_view host, std::string_view target) const
{
    std::string_view path = target.substr(0, target.find('?'));
    std::string key = routeKey(host, path);
    const std::size_t pathStart = host.size() + 1;
    while (true) {
        const std::size_t slash = key.rfind('/');
        if (slash == std::string::npos || slash < pathStart)
            return nullptr;
        key.resize(slash + 1);
        const auto found = m_routes.find(key);
        if (found != m_routes.end())
            return found->second;
        key.resize(slash);
    }
}

const team_config* route_table::findTeam(const std::string& key) const
{
    const auto found = m_teams.find(key);
    return found == m_teams.end() ? nullptr : found->second;
}

const service_config* route_table::findService(const std::string& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

const std::string* route_table::pickTarget(const route_config& route, double draw)
{
    double total = 0;
    for (const auto& target : route.targets)
        total += target.weight;
    double remaining = draw * total;
    for (const auto& target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0 && target.weight > 0)
            return &target.service;
    }
    return route.targets.empty() ? nullptr : &route.targets.back().service;
}

} // namespace sagesaddle
