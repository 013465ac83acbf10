#include "Route/upstream_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sagesaddle {

namespace {

// Forecast time for which the coordinator's last factor counts beside the gateway's own samples.
constexpr double toldWeightMilliseconds = 2000;
// Greatest ratio of observed to forecast time of a sample, and of forecast to observed time.
constexpr double maxSampleRatio = 6;

} // namespace

void upstream_pace::onSample(double observed, double forecast, monotonic_time now)
{
    if (forecast <= 0)
        return;
    const pace_sums sample { std::clamp(observed, forecast / maxSampleRatio, forecast * maxSampleRatio),
        forecast };
    m_own = m_own.decayed(now - m_ownAt);
    m_ownAt = now;
    m_own += sample;
    m_unreported += sample;
}

pace_sums upstream_pace::takeUnreported()
{
    return std::exchange(m_unreported, {});
}

void upstream_pace::onTold(double factor)
{
    if (std::isfinite(factor))
        m_told = std::clamp(factor, minPaceFactor, maxPaceFactor);
}

double upstream_pace::factor(bool isCoordinated, monotonic_time now) const
{
    if (isCoordinated)
        return m_told;
    const pace_sums own = m_own.decayed(now - m_ownAt);
    return std::clamp((m_told * toldWeightMilliseconds + own.observedMilliseconds)
            / (toldWeightMilliseconds + own.forecastMilliseconds),
        minPaceFactor, maxPaceFactor);
}

void upstream_pace::beginStart(int slots, monotonic_time now)
{
    if (startLimit(now))
        return;
    m_start.emplace(slots, now);
    m_isLimitTold = false;
    m_startReport.isBeginning = true;
}

void upstream_pace::onOutcome(const start_outcomes& outcome, unsigned gateways, monotonic_time now)
{
    if (!startLimit(now))
        return;
    m_startReport.outcomes += outcome;
    if (!m_isLimitTold)
        m_start->onOutcomes(
            { outcome.onTime * gateways, outcome.late * gateways, outcome.failed * gateways }, now);
}

void upstream_pace::onLimitTold(int limit, int slots, monotonic_time now)
{
    m_isLimitTold = limit > 0;
    m_toldLimit = limit;
    if (limit <= 0) {
        m_start.reset();
        return;
    }
    // The coordinator knows of this slow start; told late, its beginning would look like another one.
    m_startReport.isBeginning = false;
    if (!m_start || !m_start->limit(now))
        m_start.emplace(slots, now);
    m_start->adopt(limit);
}

std::optional<int> upstream_pace::startLimit(monotonic_time now) const
{
    // The coordinator tells only changes, so its limit does not expire here.
    if (m_isLimitTold)
        return m_toldLimit;
    return m_start ? m_start->limit(now) : std::nullopt;
}

start_report upstream_pace::takeStartReport()
{
    return std::exchange(m_startReport, {});
}

} // namespace sagesaddle
