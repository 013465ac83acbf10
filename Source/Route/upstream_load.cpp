#include "Route/upstream_load.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

/// Time in which the weight of a report halves.
constexpr double reportHalfLifeSeconds = 2;
/// Send times that are kept to tell which requests a report cannot have counted yet.
constexpr std::size_t maxRecentSends = 64;
/// Factor by which each answer reduces the weight of the older ones.
constexpr double answerDecay = 0.9;
constexpr milliseconds initialBackoff { 100 };
constexpr milliseconds maxBackoff { 10000 };
constexpr std::uint32_t maxBackoffDoublings = 7;

/// \return the seconds from one time to another, 0 where the other is earlier.
double elapsedSeconds(monotonic_time from, monotonic_time to)
{
    return std::max(0.0, secondsBetween(from, to));
}

} // namespace

void upstream_load::accumulateTokenSeconds(monotonic_time now)
{
    m_tokenSeconds += m_ownTokens * elapsedSeconds(m_accumulatedUntil, now);
    m_accumulatedUntil = std::max(m_accumulatedUntil, now);
}

void upstream_load::onSent(double tokens, monotonic_time now)
{
    accumulateTokenSeconds(now);
    m_ownTokens += tokens;
    ++m_ownRequests;
    m_recentSends.push_back(now);
    if (m_recentSends.size() > maxRecentSends)
        m_recentSends.pop_front();
}

void upstream_load::removeOwnRequest(double tokens, monotonic_time now)
{
    accumulateTokenSeconds(now);
    m_ownTokens = std::max(0.0, m_ownTokens - tokens);
    m_ownRequests -= m_ownRequests > 0 ? 1 : 0;
    if (m_ownRequests == 0)
        m_ownTokens = 0;
}

void upstream_load::onDeadlinePassed(double tokens, monotonic_time sentAt, monotonic_time now)
{
    if (m_lastAnswer < sentAt)
        onDone(tokens, true, now);
    else
        removeOwnRequest(tokens, now);
}

void upstream_load::onDone(double tokens, bool failed, monotonic_time now)
{
    removeOwnRequest(tokens, now);
    m_failureRatio += (1 - answerDecay) * ((failed ? 1.0 : 0.0) - m_failureRatio);
    if (failed) {
        const auto doublings = std::min(m_consecutiveFailures++, maxBackoffDoublings);
        m_backoffUntil = now + std::min(initialBackoff * (1 << doublings), maxBackoff);
        return;
    }
    m_lastAnswer = now;
    m_consecutiveFailures = 0;
    m_backoffUntil = monotonic_time {};
    m_tokenSeconds *= answerDecay;
    m_answeredTokens = answerDecay * m_answeredTokens + tokens;
}

void upstream_load::onLinkUp(monotonic_time now)
{
    m_consecutiveFailures = std::min<std::uint32_t>(m_consecutiveFailures, 1);
    m_backoffUntil = std::min(m_backoffUntil, now);
}

std::uint32_t upstream_load::countSentSince(monotonic_time since) const
{
    const auto first = std::upper_bound(m_recentSends.begin(), m_recentSends.end(), since);
    return static_cast<std::uint32_t>(m_recentSends.end() - first);
}

void upstream_load::onReport(const load_report& report, monotonic_time now)
{
    const auto reportedAt = now - milliseconds(report.reportAgeMs);
    if (reportedAt < m_reportedAt)
        return;
    m_reportedAt = reportedAt;
    const std::uint32_t ownReported = m_ownRequests - std::min(m_ownRequests, countSentSince(reportedAt));
    const std::uint32_t reported = report.queued + report.running;
    m_othersRequests = reported > ownReported ? reported - ownReported : 0;
}

double upstream_load::requests(monotonic_time now) const
{
    if (m_othersRequests == 0)
        return m_ownRequests;
    const double age = elapsedSeconds(m_reportedAt, now);
    return m_ownRequests + m_othersRequests * std::exp2(-age / reportHalfLifeSeconds);
}

double upstream_load::meanSeconds(monotonic_time now) const
{
    const double tokenSeconds = m_tokenSeconds + m_ownTokens * elapsedSeconds(m_accumulatedUntil, now);
    const double tokens = std::max(m_answeredTokens, m_ownTokens);
    return tokens > 0 ? tokenSeconds / tokens : 0;
}

bool upstream_load::available(monotonic_time now) const
{
    if (m_consecutiveFailures == 0)
        return true;
    return now >= m_backoffUntil && m_ownRequests == 0;
}

} // namespace sagesaddle
