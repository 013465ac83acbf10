#include "Relay/relay.h"

#include "Loop/event_loop.h"

namespace sagesaddle {

namespace {

// Part of the latency objective up to which the forecast of a warm upstream is good enough to leave cold ones
// out. The rest covers errors of the forecast: above it, an idle cold upstream may be the better one.
constexpr double warmObjectiveShare = 0.5;
// Time for which a request that was placed on a cold upstream may wait for its connection. A later request
// would exceed the limit together with those that were granted meanwhile.
constexpr milliseconds maxColdSendDelay { 250 };

} // namespace

void relay::applyRequestLimit(
    const std::string& upstream, const upstream_answer_metadata& metadata, monotonic_time sentAt)
{
    if (metadata.isRequestLimitInvalid) {
        m_telemetry.lines.write(
            log_level::Warning, "upstream_limit_unreadable", { { "upstream", upstream } }, monotonicNow());
        return;
    }
    const upstream_limit limit { upstream, metadata.requestLimit };
    if (!m_sendCredit.onAnswer(limit, sentAt, bootTimeNow()))
        return;
    logRequestLimit(limit, "answer");
    // The coordinator tells the other gateways.
    m_hooks.requestSendCredit();
    schedulePlacement();
}

void relay::onUpstreamLimitTold(const upstream_limit& limit)
{
    if (m_sendCredit.onTold(limit, bootTimeNow()))
        logRequestLimit(limit, "coordinator");
}

void relay::logRequestLimit(const upstream_limit& limit, std::string_view source)
{
    m_telemetry.lines.write(log_level::Info, "upstream_limit",
        { { "upstream", limit.upstream }, { "limited", limit.requestsPerSecond.has_value() },
            { "per_s", limit.requestsPerSecond.value_or(0) }, { "source", source } },
        monotonicNow());
}

bool relay::trySpendSend(const std::string& upstream)
{
    return m_sendCredit.trySpend(upstream, bootTimeNow());
}

bool relay::isCatchingUp(const std::string& service)
{
    return m_standstillGuard.isCatchingUp(bootTimeNow()) && m_coldLimits.isLimited(service);
}

bool relay::mayStillSend(const upstream_entry& target, bool wasLimited, monotonic_time placedAt)
{
    if (isCatchingUp(target.service))
        return false;
    const bool isLate = monotonicNow() - placedAt > maxColdSendDelay;
    if (wasLimited && !(isLate && m_sendCredit.isCold(target.id, bootTimeNow())))
        return true;
    return trySpendSend(target.id);
}

std::optional<relay_choice> relay::chooseWarm(
    const relay_exchange& request, const std::vector<upstream_state_ptr>& upstreams)
{
    if (m_coldSince.empty())
        return std::nullopt;
    const monotonic_time now = monotonicNow();
    std::vector<upstream_state_ptr> warm;
    for (const auto& upstream : upstreams) {
        if (!m_coldSince.contains(upstream->entry.id) && !upstream->isSuspect(now))
            warm.push_back(upstream);
    }
    if (warm.size() == upstreams.size())
        return std::nullopt;
    const auto choice = chooseUpstreamOf(request, warm);
    const auto* best = std::get_if<chosen_upstream>(&choice);
    const auto objective = static_cast<double>(request.route().objective.count());
    if (best == nullptr || best->firstEventMilliseconds > objective * warmObjectiveShare
        || !trySpendSend(warm[best->index]->entry.id))
        return std::nullopt;
    return sendTo(warm, *best);
}

void relay::applyColdConfig(const std::vector<service_config>& services)
{
    for (const auto& service : services) {
        if (service.coldRequestsPerSecond > 0)
            m_telemetry.lines.write(log_level::Info, "cold_limit_in_force",
                { { "service", service.name }, { "per_s", service.coldRequestsPerSecond },
                    { "start_ms", service.coldStart.count() } },
                monotonicNow());
    }
    m_coldLimits.onConfig(services);
    updateColdLimits();
}

void relay::updateColdLimits()
{
    m_standstillGuard.isCatchingUp(bootTimeNow());
    const monotonic_time now = monotonicNow();
    auto limits = m_coldLimits.inForce(now);
    if (limits.empty() && m_coldSince.empty())
        return;
    const auto previous = std::exchange(m_coldSince, {});
    // Credit is spent by the clock that counts suspension.
    const auto offset = bootTimeNow() - now;
    for (auto& limit : limits) {
        const auto known = previous.find(limit.upstream);
        if (known == previous.end() || known->second != limit.since)
            m_telemetry.lines.write(log_level::Info, "upstream_cold",
                { { "upstream", limit.upstream }, { "per_s", limit.requestsPerSecond },
                    { "ms", std::chrono::duration_cast<milliseconds>(limit.endsAt - now).count() },
                    { "was_in_use", limit.wasInUse } },
                now);
        m_coldSince.emplace(limit.upstream, limit.since);
        limit.since += offset;
        limit.endsAt += offset;
    }
    m_sendCredit.setColdLimits(limits, now + offset);
    m_telemetry.metrics.set("sagesaddle_cold_upstreams",
        "Upstreams with a request limit because they are cold", static_cast<double>(limits.size()));
    bool anyEnded = false;
    for (const auto& [id, since] : previous) {
        if (m_coldSince.contains(id))
            continue;
        anyEnded = true;
        m_telemetry.lines.write(log_level::Info, "upstream_warm",
            { { "upstream", id },
                { "cold_ms", std::chrono::duration_cast<milliseconds>(now - since).count() } },
            now);
    }
    if (anyEnded)
        schedulePlacement();
}

} // namespace sagesaddle
