// The coordinator's part in quarantines of prompts.
#include "Gateway/coordinator.h"

#include <utility>

namespace sagesaddle {

namespace {

// Shortest time between two decisions on quarantines. In a large fleet reports arrive more often.
constexpr milliseconds quarantineDecisionInterval { 20 };
// Shortest time between two messages to all gateways about watched prompt parts, for each gateway.
constexpr milliseconds watchBroadcastIntervalPerGateway { 1 };

} // namespace

void coordinator::addQuarantine(
    gateway_state& to, const quarantine_report& report, fleet_update& update, monotonic_time now)
{
    for (const auto& notice : report.quarantined)
        m_crashEvidence.adopt({ notice.part, now + notice.left }, now);
    for (const auto& crash : report.crashes)
        m_crashEvidence.onCrash({ crash.process, now - crash.age, crash.parts }, now);
    // The answers may be of parts that are watched only because of these crashes.
    if (!report.crashes.empty() || now - m_quarantineDecidedAt >= quarantineDecisionInterval) {
        m_quarantineDecidedAt = now;
        const auto decisions = m_crashEvidence.update(now);
        m_quarantineDecisions.insert(m_quarantineDecisions.end(), decisions.begin(), decisions.end());
    }
    m_crashEvidence.onAllAnswers(report.allAnswers);
    for (const auto& answers : report.answers)
        m_crashEvidence.onAnswers(answers, now);
    if (std::exchange(to.sentQuarantineRevision, m_crashEvidence.revision()) == m_crashEvidence.revision())
        return;
    update.quarantine = describeQuarantine(now);
}

quarantine_update coordinator::describeQuarantine(monotonic_time now) const
{
    quarantine_update told { m_crashEvidence.watched(), {} };
    for (const auto& item : m_crashEvidence.quarantined())
        told.quarantined.push_back({ item.part, std::chrono::duration_cast<milliseconds>(item.until - now) });
    return told;
}

std::optional<quarantine_update> coordinator::takeQuarantineBroadcast(monotonic_time now)
{
    const bool isUrgent = m_broadcastQuarantineRevision != m_crashEvidence.quarantineRevision();
    const auto interval = watchBroadcastIntervalPerGateway * std::ssize(m_gateways);
    if (m_broadcastRevision == m_crashEvidence.revision() || (!isUrgent && now - m_broadcastAt < interval))
        return std::nullopt;
    m_broadcastAt = now;
    m_broadcastQuarantineRevision = m_crashEvidence.quarantineRevision();
    m_broadcastRevision = m_crashEvidence.revision();
    // A gateway whose connection breaks meanwhile asks for a full update.
    for (auto& [name, state] : m_gateways)
        state.sentQuarantineRevision = m_broadcastRevision;
    return describeQuarantine(now);
}

std::vector<quarantine_decision> coordinator::takeQuarantineDecisions()
{
    return std::exchange(m_quarantineDecisions, {});
}

} // namespace sagesaddle
