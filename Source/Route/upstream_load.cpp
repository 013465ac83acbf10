#include "Route/upstream_load.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

/// Time in which the weight of a report falls to a half.
constexpr double reportHalfLifeSeconds = 2;
/// Sends that are remembered to correct a report that was taken before them.
constexpr std::size_t maxRecentSends = 64;
/// Weight that older answers keep with each newer one.
constexpr double olderAnswersWeight = 0.9;
constexpr milliseconds firstEasing { 100 };
constexpr milliseconds longestEasing { 10000 };
constexpr std::uint32_t maxDoublings = 7;

double secondsPassed(monotonic_time from, monotonic_time to)
{
    return std::max(0.0, secondsBetween(from, to));
}

} // namespace

void upstream_load::accumulate(monotonic_time now)
{
    m_tokenSeconds += m_ownTokens * secondsPassed(m_accumulatedUntil, now);
    m_accumulatedUntil = std::max(m_accumulatedUntil, now);
}

void upstream_load::onSent(double tokens, monotonic_time now)
{
    accumulate(now);
    m_ownTokens += tokens;
    ++m_ownRequests;
    m_recentSends.push_back(now);
    if (m_recentSends.size() > maxRecentSends)
        m_recentSends.pop_front();
}

void upstream_load::takeBack(double tokens, monotonic_time now)
{
    accumulate(now);
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
        takeBack(tokens, now);
}

void upstream_load::onDone(double tokens, bool failed, monotonic_time now)
{
    takeBack(tokens, now);
    m_failureRatio += (1 - olderAnswersWeight) * ((failed ? 1.0 : 0.0) - m_failureRatio);
    if (failed) {
        const auto doublings = std::min(m_failuresInARow++, maxDoublings);
        m_easedUntil = now + std::min(firstEasing * (1 << doublings), longestEasing);
        return;
    }
    m_lastAnswer = now;
    m_failuresInARow = 0;
    m_easedUntil = monotonic_time {};
    m_tokenSeconds *= olderAnswersWeight;
    m_answeredTokens = olderAnswersWeight * m_answeredTokens + tokens;
}

void upstream_load::onLinkUp(monotonic_time now)
{
    m_failuresInARow = std::min<std::uint32_t>(m_failuresInARow, 1);
    m_easedUntil = std::min(m_easedUntil, now);
}

std::uint32_t upstream_load::sentSince(monotonic_time since) const
{
    const auto first = std::upper_bound(m_recentSends.begin(), m_recentSends.end(), since);
    return static_cast<std::uint32_t>(m_recentSends.end() - first);
}

void upstream_load::onReport(const load_report& report, monotonic_time now)
{
    const auto taken = now - milliseconds(report.reportAgeMs);
    if (taken < m_reportTaken)
        return;
    m_reportTaken = taken;
    const std::uint32_t ownThen = m_ownRequests - std::min(m_ownRequests, sentSince(taken));
    const std::uint32_t all = report.queued + report.running;
    m_othersRequests = all > ownThen ? all - ownThen : 0;
}

double upstream_load::requests(monotonic_time now) const
{
    if (m_othersRequests == 0)
        return m_ownRequests;
    const double age = secondsPassed(m_reportTaken, now);
    return m_ownRequests + m_othersRequests * std::exp2(-age / reportHalfLifeSeconds);
}

double upstream_load::meanSeconds(monotonic_time now) const
{
    const double spent = m_tokenSeconds + m_ownTokens * secondsPassed(m_accumulatedUntil, now);
    const double tokens = std::max(m_answeredTokens, m_ownTokens);
    return tokens > 0 ? spent / tokens : 0;
}

bool upstream_load::available(monotonic_time now) const
{
    if (m_failuresInARow == 0)
        return true;
    return now >= m_easedUntil && m_ownRequests == 0;
}

} // namespace sagesaddle
