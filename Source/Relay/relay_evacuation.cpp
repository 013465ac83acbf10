// The relay's functions for evacuated zones.
#include "Relay/relay.h"

#include <algorithm>

namespace sagesaddle {

void relay::onEvacuations(const std::set<std::string>& zones)
{
    m_telemetry.metrics.set("sagesaddle_evacuated_zones", "Zones whose upstreams are sent nothing",
        static_cast<double>(zones.size()));
    if (zones == m_evacuatedZones)
        return;
    const monotonic_time now = monotonicNow();
    const std::set<std::string> before = std::exchange(m_evacuatedZones, zones);
    for (const auto& zone : zones) {
        if (!before.contains(zone))
            m_telemetry.lines.write(log_level::Warning, "zone_evacuated", { { "zone", zone } }, now);
    }
    for (const auto& zone : before) {
        if (!zones.contains(zone))
            m_telemetry.lines.write(log_level::Warning, "zone_evacuation_ended", { { "zone", zone } }, now);
    }
    std::vector<relay_exchange_ptr> placed;
    for (const auto& [id, upstream] : m_upstreams) {
        const bool wasEvacuated = std::exchange(upstream->isEvacuated, zones.contains(upstream->entry.zone));
        if (!upstream->isEvacuated || wasEvacuated)
            continue;
        if (const auto probe = std::exchange(upstream->probe, nullptr))
            probe->close();
        // The probe that would have told a crash from a broken connection was just closed.
        m_crashWatch.onConnectionAccepted(id);
        for (auto* request : upstream->requests)
            placed.push_back(request->shared_from_this());
    }
    for (const auto& request : placed)
        request->placeAgainIfUnsent();
    placeWaiting();
}

void relay::applyEntry(upstream_state& upstream, const upstream_entry& entry)
{
    upstream.entry = entry;
    upstream.isEvacuated = m_evacuatedZones.contains(entry.zone);
}

std::optional<relay_choice> relay::refuseEvacuated(const relay_exchange& request)
{
    const auto service = m_byService.find(request.service());
    if (m_evacuatedZones.empty() || service == m_byService.end())
        return std::nullopt;
    const relay_request& wanted = request.request();
    const std::string modelRef = wanted.modelRef();
    std::vector<upstream_state_ptr> evacuated;
    std::vector<upstream_state_ptr> others;
    for (const auto& upstream : service->second) {
        if (!upstream->entry.isDraining && !upstream->isLeaving)
            (upstream->isEvacuated ? evacuated : others).push_back(upstream);
    }
    // An adapter is loaded within milliseconds where its model is loaded.
    const bool isServedElsewhere
        = std::any_of(others.begin(), others.end(), [&](const upstream_state_ptr& upstream) {
              return upstream->hasLoaded(modelRef)
                  || (!wanted.adapter.empty() && upstream->hasLoaded(wanted.model));
          });
    const bool wasServed = std::any_of(evacuated.begin(), evacuated.end(),
        [&](const upstream_state_ptr& upstream) { return upstream->hasLoaded(modelRef); });
    if (evacuated.empty() || isServedElsewhere || (!wasServed && !others.empty()))
        return std::nullopt;
    if (!wanted.model.empty())
        m_hooks.onModelMissing(request.service(), wanted.model, wanted.adapter);
    return refuse_decision { refusal_reason::ZoneEvacuated,
        others.empty() ? declinedRetryAfter(request) : modelLoadRetryAfter(request) };
}

void relay_exchange::placeAgainIfUnsent()
{
    if (m_over || !m_connection || m_isSent)
        return;
    // A request is sent as soon as its connection is established, so this one is not.
    leaveUpstream(false);
    place();
}

} // namespace sagesaddle
