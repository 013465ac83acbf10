#include "Route/round_robin_router.h"

namespace sagesaddle {

namespace {

/// Retry time that is returned where no upstream can take a request.
constexpr std::uint32_t roundRobinRetryMs = 1000;

} // namespace

route_choice round_robin_router::choose(const route_request& request, monotonic_time /*now*/)
{
    if (!m_state)
        return { "", "no_upstream", roundRobinRetryMs };
    if (request.service.empty() && !m_state->models.contains(request.model))
        return { "", "unknown_model", 0 };
    const std::vector<std::string> names = candidates(request);
    if (names.empty())
        return { "", "no_upstream", roundRobinRetryMs };
    const std::string& target = request.service.empty() ? request.model : request.service;
    return { names[m_turns[target]++ % names.size()], "round_robin", 0 };
}

void round_robin_router::onLink(const std::string& upstream, bool up, monotonic_time /*now*/)
{
    if (up)
        m_connected.insert(upstream);
    else
        m_connected.erase(upstream);
}

std::vector<std::string> round_robin_router::candidates(const route_request& request) const
{
    std::vector<std::string> names;
    if (!request.service.empty()) {
        for (const auto& [name, value] : m_state->upstreams) {
            if (value.service == request.service && isUsable(name, request))
                names.push_back(name);
        }
        return names;
    }
    auto placed = m_state->placements.lower_bound({ request.model, "" });
    for (; placed != m_state->placements.end() && placed->first.first == request.model; ++placed) {
        if (isUsable(placed->first.second, request))
            names.push_back(placed->first.second);
    }
    return names;
}

bool round_robin_router::isUsable(const std::string& upstream, const route_request& request) const
{
    const auto found = m_state->upstreams.find(upstream);
    return found != m_state->upstreams.end() && !found->second.leaving && m_connected.contains(upstream)
        && !m_leaving.contains(upstream) && !request.tried.contains(upstream);
}

} // namespace sagesaddle
