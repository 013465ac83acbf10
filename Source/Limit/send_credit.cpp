#include "Limit/send_credit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sagesaddle {

namespace {

// Change of a limit, as a fraction of it, that is too small to be reported.
constexpr double limitTolerance = 0.05;
// Time for which the limit of an upstream that is not listed is kept.
constexpr seconds unlistedLimitLife { 60 };
// Lifetime of credit for a cold upstream. Within a second it then gets at most what is granted in 1.25 s: the
// rest of the platform's bound covers requests that are delayed on their way, and gateways that spend their
// fallback allowance while others still get credit.
constexpr milliseconds coldCreditLifetime { 250 };
// Without a coordinator, gateways together never send a cold upstream more than half of the limit and a
// quarter of a second's worth of it at once.
constexpr credit_bursts coldCreditBursts { 0.5, 0, true };

} // namespace

send_credit::send_credit(milliseconds creditLifetime)
    : m_credit(creditLifetime, fallbackRateFraction)
    , m_coldCredit(coldCreditLifetime, fallbackRateFraction, coldCreditBursts)
{
}

void send_credit::setGatewayCount(unsigned count)
{
    m_credit.setGatewayCount(count);
    m_coldCredit.setGatewayCount(count);
}

void send_credit::setFallbackActive(bool isActive, monotonic_time now)
{
    m_credit.setFallbackActive(isActive, now);
    m_coldCredit.setFallbackActive(isActive, now);
}

void send_credit::setColdLimits(const std::vector<cold_limit>& limits, monotonic_time now)
{
    if (limits.empty() && m_cold.empty())
        return;
    m_cold.clear();
    for (const auto& limit : limits) {
        m_cold.emplace(limit.upstream, limit);
        // Requests for credit are kept with the stated limits.
        if (m_limits.contains(limit.upstream))
            continue;
        limit_state& state = m_limits[limit.upstream];
        state.knownSince = now;
        const auto started = m_startedAt.find(limit.upstream);
        state.startedAt = started == m_startedAt.end() ? 0 : started->second;
    }
    updateAccounts(now);
}

const cold_limit* send_credit::coldLimitOf(const std::string& upstream, monotonic_time now) const
{
    const auto found = m_cold.find(upstream);
    return found != m_cold.end() && found->second.endsAt > now ? &found->second : nullptr;
}

bool send_credit::isCold(const std::string& upstream, monotonic_time now) const
{
    return coldLimitOf(upstream, now) != nullptr;
}

std::optional<double> send_credit::limitInForce(const std::string& upstream, monotonic_time now) const
{
    const std::optional<double> stated = limitOf(upstream);
    const cold_limit* cold = coldLimitOf(upstream, now);
    if (cold == nullptr)
        return stated;
    return std::min(cold->requestsPerSecond, stated.value_or(cold->requestsPerSecond));
}

credit_cache& send_credit::creditOf(const std::string& upstream, monotonic_time now)
{
    return isCold(upstream, now) ? m_coldCredit : m_credit;
}

bool send_credit::set(const upstream_limit& limit, monotonic_time now)
{
    const auto known = m_limits.find(limit.upstream);
    const std::optional<double> previous = limitOf(limit.upstream);
    if (previous.has_value() == limit.requestsPerSecond.has_value()
        && (!previous || std::abs(*limit.requestsPerSecond - *previous) <= *previous * limitTolerance))
        return false;
    limit_state& state = known == m_limits.end() ? m_limits[limit.upstream] : known->second;
    if (!previous) {
        state.knownSince = now;
        state.refusedUntil = {};
    }
    state.requestsPerSecond = limit.requestsPerSecond;
    const auto started = m_startedAt.find(limit.upstream);
    state.startedAt = started == m_startedAt.end() ? 0 : started->second;
    updateAccounts(now);
    return true;
}

void send_credit::updateAccounts(monotonic_time now)
{
    std::vector<rate_limit> limits;
    for (const auto& [id, state] : m_limits) {
        if (state.requestsPerSecond)
            limits.push_back(upstreamRateLimit(id, *state.requestsPerSecond, {}));
    }
    m_credit.setLimits(limits, now);
    std::vector<rate_limit> coldLimits;
    for (const auto& [id, limit] : m_cold)
        coldLimits.push_back({ id, limitInForce(id, now).value_or(limit.requestsPerSecond) });
    m_coldCredit.setLimits(coldLimits, now);
}

bool send_credit::onAnswer(const upstream_limit& limit, monotonic_time sentAt, monotonic_time now)
{
    const auto known = m_limits.find(limit.upstream);
    if (!limit.requestsPerSecond && (known == m_limits.end() || sentAt <= known->second.knownSince))
        return false;
    if (!set(limit, now))
        return false;
    m_limits[limit.upstream].isNews = true;
    return true;
}

bool send_credit::onTold(const upstream_limit& limit, monotonic_time now)
{
    // What an answer said meanwhile is still to be reported.
    const auto known = m_limits.find(limit.upstream);
    if (known != m_limits.end() && known->second.isNews)
        return false;
    return set(limit, now);
}

void send_credit::onUpstreams(const std::map<std::string, std::int64_t>& startedAt, monotonic_time now)
{
    m_startedAt = startedAt;
    for (auto& [id, state] : m_limits) {
        const auto listed = startedAt.find(id);
        if (listed == startedAt.end()) {
            state.unlistedSince = state.unlistedSince.value_or(now);
            continue;
        }
        state.unlistedSince.reset();
        // The limit was told before the list.
        if (state.startedAt == 0)
            state.startedAt = listed->second;
    }
    const std::size_t erased = std::erase_if(m_limits, [&](const auto& item) {
        const limit_state& state = item.second;
        if (state.unlistedSince)
            return now - *state.unlistedSince > unlistedLimitLife;
        return startedAt.at(item.first) != state.startedAt;
    });
    if (erased > 0)
        updateAccounts(now);
}

std::optional<double> send_credit::limitOf(const std::string& upstream) const
{
    const auto known = m_limits.find(upstream);
    return known == m_limits.end() ? std::nullopt : known->second.requestsPerSecond;
}

bool send_credit::hasCredit(const std::string& upstream, monotonic_time now)
{
    return !limitInForce(upstream, now) || creditOf(upstream, now).has(upstream, 1, now);
}

bool send_credit::trySpend(const std::string& upstream, monotonic_time now)
{
    return !limitInForce(upstream, now) || creditOf(upstream, now).trySpend(upstream, 1, now);
}

void send_credit::request(const std::string& upstream, bool isWaitedFor)
{
    const auto known = m_limits.find(upstream);
    if (known == m_limits.end())
        return;
    known->second.isWanted = true;
    known->second.isWaitedFor = known->second.isWaitedFor || isWaitedFor;
}

milliseconds send_credit::refusedFor(const std::string& upstream, monotonic_time now) const
{
    const auto known = m_limits.find(upstream);
    if (known == m_limits.end() || known->second.refusedUntil <= now)
        return milliseconds(0);
    return std::chrono::ceil<milliseconds>(known->second.refusedUntil - now);
}

bool send_credit::hasUrgentReport() const
{
    return std::any_of(m_limits.begin(), m_limits.end(), [](const auto& item) {
        return item.second.isNews || (item.second.isWaitedFor && !item.second.isAsked);
    });
}

std::vector<send_credit_request> send_credit::takeRequests(monotonic_time now)
{
    std::vector<send_credit_request> requests;
    for (auto& [id, state] : m_limits) {
        send_credit_request request { { id, state.requestsPerSecond },
            std::chrono::duration_cast<milliseconds>(now - state.knownSince),
            std::exchange(state.isNews, false), 0, 0, 0, 0, milliseconds(0) };
        if (const cold_limit* cold = coldLimitOf(id, now)) {
            request.coldRequestsPerSecond = cold->requestsPerSecond;
            request.coldRemaining = std::chrono::ceil<milliseconds>(cold->endsAt - now);
        }
        if (limitInForce(id, now) && !state.isAsked) {
            credit_cache& credit = creditOf(id, now);
            request.needed = state.isWaitedFor ? 1 : 0;
            const bool isOnlyWanted = state.isWanted && !state.isWaitedFor;
            request.ahead = std::max(credit.tokensToPrefetch(id, now), isOnlyWanted ? 1.0 : 0.0);
            request.returned = state.isWanted ? 0 : credit.removeIdleCredit(id, now);
            state.isAsked = request.needed > 0 || request.ahead > 0;
            state.isWanted = state.isWaitedFor = false;
        } else if (!limitInForce(id, now)) {
            // The limit ended while credit was wanted.
            state.isWanted = state.isWaitedFor = false;
        }
        if (request.isNews || request.needed > 0 || request.ahead > 0 || request.returned > 0)
            requests.push_back(request);
    }
    return requests;
}

void send_credit::onGrant(const std::string& upstream, double requests, milliseconds retryAfter,
    monotonic_time askedAt, monotonic_time now)
{
    // Credit that was requested before the upstream was known to be cold need not be under its limit.
    const cold_limit* cold = coldLimitOf(upstream, now);
    if (cold == nullptr)
        m_credit.onGrant(upstream, requests, askedAt);
    else if (askedAt >= cold->since)
        m_coldCredit.onGrant(upstream, requests, askedAt);
    const auto known = m_limits.find(upstream);
    if (known == m_limits.end())
        return;
    known->second.isAsked = false;
    if (requests < 1 && retryAfter > milliseconds(0))
        known->second.refusedUntil = now + retryAfter;
}

void send_credit::onReportsLost()
{
    for (auto& [id, state] : m_limits) {
        state.isAsked = false;
        state.isNews = state.isNews || state.requestsPerSecond.has_value();
    }
}

} // namespace sagesaddle
