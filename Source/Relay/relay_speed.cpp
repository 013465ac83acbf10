// How the relay learns the speed of upstreams from their answers, and slow start.
#include "Relay/relay.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Bounds for observed reading times of a prompt token.
constexpr double minMsPerToken = 0.002;
constexpr double maxMsPerToken = 0.2;
// Weight of a new observation in the mean times of a model.
constexpr double speedWeight = 0.1;
// Unread prompt tokens below which the first event says little about the speed, since the network and the
// first token step take most of the time.
constexpr double minSampleTokens = 300;
// Weight of a stream's time beside that of its first event, which then count about equally. The means that
// streams are compared with adapt to the upstreams that run at that load, so more weight delays the factor.
constexpr double streamSampleWeight = 0.06;
// Shortest time and size of a stream that says something about the speed.
constexpr double minStreamMilliseconds = 50;
constexpr std::size_t minStreamBytes = 200;
// An answer within this multiple of its forecast and the time beyond it comes at the expected speed. The
// factor of a new process is not known yet; the slowest engines take 1.7 times as long as the mean.
constexpr double lateStartRatio = 2;
constexpr double lateStartReserveMs = 50;
// Fleets of more gateways do not learn speeds: each gateway sees an upstream too seldom, and reports of the
// load are older than the processing of a prompt. With 103 gateways fewer requests were served than without.
constexpr unsigned maxLearningGateways = 64;

} // namespace

bool relay::learnsUpstreamSpeed() const
{
    return m_options.learnsUpstreamSpeed && m_gatewayCount <= maxLearningGateways;
}

send_decision relay::sendTo(
    const std::vector<upstream_state_ptr>& upstreams, const chosen_upstream& chosen) const
{
    return { upstreams[chosen.index], chosen.firstEventMilliseconds,
        learnsUpstreamSpeed() ? chosen.cachedTokens : 0 };
}

void relay::recordFirstByte(
    const relay_exchange& request, upstream_state& upstream, double elapsed, double unreadTokens)
{
    m_telemetry.metrics.observeSeconds(
        "sagesaddle_first_byte_seconds", "Time from send to first byte", elapsed);
    if (request.request().promptTokens.value_or(0) <= 0)
        return;
    const double forecast = unreadTokens * statsOf(request).millisecondsPerToken
        * upstream.pace.factor(m_hasCoordinator, monotonicNow());
    const bool isLate = elapsed * 1000 > forecast * lateStartRatio + lateStartReserveMs;
    recordStartOutcome(upstream, { isLate ? 0U : 1U, isLate ? 1U : 0U, 0 });
    if (!request.route().isStream() || unreadTokens <= 0)
        return;
    if (upstream.inFlight + upstream.peerLoad.inFlight > upstream.entry.slots)
        return;
    const monotonic_time now = monotonicNow();
    model_stats& stats = statsOf(request);
    double factor = 1;
    if (learnsUpstreamSpeed()) {
        if (unreadTokens < minSampleTokens)
            return;
        upstream.pace.onSample(elapsed * 1000, unreadTokens * stats.millisecondsPerToken, now);
        // The model's time is that of an upstream of mean speed, whichever upstreams run the model.
        factor = upstream.pace.factor(m_hasCoordinator, now);
    }
    const double observed = std::clamp(elapsed * 1000 / unreadTokens / factor, minMsPerToken, maxMsPerToken);
    stats.millisecondsPerToken += speedWeight * (observed - stats.millisecondsPerToken);
}

void relay::recordStreamSpeed(const relay_exchange& request, upstream_state& upstream)
{
    if (!learnsUpstreamSpeed() || !request.route().isStream() || request.request().model.empty())
        return;
    const monotonic_time now = monotonicNow();
    const double elapsed = secondsBetween(request.firstByteAt(), now) * 1000;
    const auto bytes = static_cast<double>(request.answerBytes());
    if (elapsed < minStreamMilliseconds || request.answerBytes() < minStreamBytes)
        return;
    auto& means = statsOf(request).millisecondsPerByte;
    const double load = static_cast<double>(upstream.inFlight + upstream.peerLoad.inFlight)
        / std::max(upstream.entry.slots, 1);
    const auto level = static_cast<std::size_t>(
        std::clamp(load * static_cast<double>(means.size()), 0.0, static_cast<double>(means.size() - 1)));
    const double observed = elapsed / bytes / upstream.pace.factor(m_hasCoordinator, now);
    if (means[level] <= 0) {
        means[level] = observed;
        return;
    }
    upstream.pace.onSample(elapsed * streamSampleWeight, bytes * means[level] * streamSampleWeight, now);
    means[level] += speedWeight * (observed - means[level]);
}

void relay::onSpeedTold(const std::string& id, double factor)
{
    const auto found = m_upstreams.find(id);
    if (!learnsUpstreamSpeed() || found == m_upstreams.end())
        return;
    found->second->pace.onTold(factor);
    m_telemetry.metrics.set("sagesaddle_upstream_time_factor",
        "Time that an upstream takes for a piece of work, relative to the mean upstream", factor,
        { { "upstream", id } });
}

void relay::beginSlowStart(upstream_state& upstream, std::string_view reason)
{
    const monotonic_time now = monotonicNow();
    if (!learnsUpstreamSpeed() || upstream.pace.startLimit(now))
        return;
    upstream.pace.beginStart(upstream.entry.slots, now);
    m_telemetry.lines.write(log_level::Info, "upstream_paced",
        { { "upstream", upstream.entry.id }, { "on", true }, { "reason", reason },
            { "limit", upstream.pace.startLimit(now).value_or(0) } },
        now);
    upstream.isStartShown = true;
    showStartLimit(upstream);
}

void relay::recordStartOutcome(upstream_state& upstream, const start_outcomes& outcome)
{
    if (!upstream.isStartShown)
        return;
    upstream.pace.onOutcome(outcome, m_gatewayCount, monotonicNow());
    showStartLimit(upstream);
}

void relay::onStartLimitTold(const std::string& id, int limit)
{
    const auto found = m_upstreams.find(id);
    if (!learnsUpstreamSpeed() || found == m_upstreams.end())
        return;
    upstream_state& upstream = *found->second;
    if (limit > 0)
        beginSlowStart(upstream, "coordinator");
    upstream.pace.onLimitTold(limit, upstream.entry.slots, monotonicNow());
    showStartLimit(upstream);
}

void relay::showStartLimit(upstream_state& upstream)
{
    if (!upstream.isStartShown)
        return;
    const monotonic_time now = monotonicNow();
    const auto limit = upstream.pace.startLimit(now);
    m_telemetry.metrics.set("sagesaddle_upstream_start_limit",
        "Requests that an upstream in slow start may have in flight from all gateways; 0 without a slow "
        "start",
        limit.value_or(0), { { "upstream", upstream.entry.id } });
    if (limit)
        return;
    upstream.isStartShown = false;
    m_telemetry.lines.write(
        log_level::Info, "upstream_paced", { { "upstream", upstream.entry.id }, { "on", false } }, now);
}

bool relay::isHeldBack(const relay_exchange& request, const upstream_state& upstream)
{
    if (!upstream.isStartShown)
        return false;
    const monotonic_time now = monotonicNow();
    const auto limit = upstream.pace.startLimit(now);
    if (!limit)
        return false;
    // Without a coordinator this gateway uses its share of the limit.
    const double admission = m_hasCoordinator
        ? startAdmission(*limit, upstream.inFlight + upstream.peerLoad.inFlight, placedUnseen(request, now))
        : startAdmission(static_cast<double>(*limit) / m_gatewayCount, upstream.inFlight, 1);
    return admission < 1 && randomFraction() >= admission;
}

std::vector<std::tuple<std::string, pace_sums, start_report>> relay::takeSpeedSamples()
{
    std::vector<std::tuple<std::string, pace_sums, start_report>> samples;
    if (!learnsUpstreamSpeed())
        return samples;
    for (const auto& [id, upstream] : m_upstreams) {
        showStartLimit(*upstream);
        const pace_sums sums = upstream->pace.takeUnreported();
        const start_report start = upstream->pace.takeStartReport();
        if (sums.forecastMilliseconds > 0 || start != start_report {})
            samples.emplace_back(id, sums, start);
    }
    return samples;
}

} // namespace sagesaddle
