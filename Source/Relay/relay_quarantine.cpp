// The relay's functions for crashes of upstreams and quarantined prompt parts.
#include "Relay/quarantine_log.h"
#include "Relay/relay.h"

namespace sagesaddle {

void relay::onQuarantineTold(const quarantine_update& told)
{
    const monotonic_time now = monotonicNow();
    const auto added = m_quarantine.onTold(told, now);
    for (const auto& item : added)
        logQuarantineInForce(item, m_telemetry, now);
    if (!added.empty())
        endQuarantinedRequests();
}

void relay::updateQuarantine(bool isCoordinated)
{
    const monotonic_time now = monotonicNow();
    const auto decisions = m_quarantine.update(isCoordinated, now);
    for (const auto& decision : decisions)
        logQuarantine(decision, "gateway", m_telemetry.lines, now);
    if (!decisions.empty())
        endQuarantinedRequests();
}

void relay::endQuarantinedRequests()
{
    std::vector<relay_exchange_ptr> ended(m_waiting.begin(), m_waiting.end());
    for (const auto& [id, upstream] : m_upstreams) {
        for (auto* request : upstream->requests) {
            if (!request->isAnswerUnderWay())
                ended.push_back(request->shared_from_this());
        }
    }
    for (const auto& request : ended) {
        if (const auto left = quarantineLeft(*request))
            request->refuse(refusal_reason::PromptQuarantined, left);
    }
}

std::optional<milliseconds> relay::quarantineLeft(const relay_exchange& request) const
{
    if (!m_quarantine.isActive())
        return std::nullopt;
    return m_quarantine.timeToEnd(request.request().quarantineIds(), monotonicNow());
}

void relay::onAnswerUnderWay(const relay_exchange& request)
{
    if (!request.request().parts.empty())
        m_quarantine.onAnswerUnderWay(request.request().quarantineIds(), monotonicNow());
}

void relay::onConnectionBroken(
    const relay_exchange& request, const upstream_state_ptr& upstream, bool isUnderWay)
{
    // Upstreams of evacuated zones are not probed, and without a probe a crash cannot be told from a broken
    // connection.
    if (upstream->isEvacuated)
        return;
    m_crashWatch.onConnectionBroken(upstream->entry, request.request(), isUnderWay);
    probe(upstream, monotonicNow());
}

} // namespace sagesaddle
