// How the relay learns the speed of upstreams from their answers.
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
// Weight of a stream's time beside that of its first event: it also depends on what else the upstream runs.
constexpr double streamSampleWeight = 0.25;
// Shortest time and size of a stream that says something about the speed.
constexpr double minStreamMilliseconds = 50;
constexpr std::size_t minStreamBytes = 200;

} // namespace

send_decision relay::sendTo(
    const std::vector<upstream_state_ptr>& upstreams, const chosen_upstream& chosen) const
{
    return { upstreams[chosen.index], chosen.firstEventMilliseconds,
        m_options.learnsUpstreamSpeed ? chosen.cachedTokens : 0 };
}

void relay::recordFirstByte(
    const relay_exchange& request, upstream_state& upstream, double elapsed, double unreadTokens)
{
    m_telemetry.metrics.observeSeconds(
        "sagesaddle_first_byte_seconds", "Time from send to first byte", elapsed);
    if (request.request().promptTokens.value_or(0) <= 0 || !request.route().isStream() || unreadTokens <= 0)
        return;
    if (upstream.inFlight + upstream.peerLoad.inFlight > upstream.entry.slots)
        return;
    const monotonic_time now = monotonicNow();
    model_stats& stats = statsOf(request);
    double factor = 1;
    if (m_options.learnsUpstreamSpeed) {
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
    if (!m_options.learnsUpstreamSpeed || !request.route().isStream() || request.request().model.empty())
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
    if (!m_options.learnsUpstreamSpeed || found == m_upstreams.end())
        return;
    found->second->pace.onTold(factor);
    m_telemetry.metrics.set("sagesaddle_upstream_time_factor",
        "Time that an upstream takes for a piece of work, relative to the mean upstream", factor,
        { { "upstream", id } });
}

std::vector<std::pair<std::string, pace_sums>> relay::takeSpeedSamples()
{
    std::vector<std::pair<std::string, pace_sums>> samples;
    for (const auto& [id, upstream] : m_upstreams) {
        const pace_sums sums = upstream->pace.takeUnreported();
        if (sums.forecastMilliseconds > 0)
            samples.emplace_back(id, sums);
    }
    return samples;
}

} // namespace sagesaddle
