#include "Limit/credit_cache.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sagesaddle {

namespace {

// Time over which the recent use is averaged.
constexpr double gatewayUseAveragingSeconds = 1.0;
// Expected use that is asked for ahead, so that most requests need not wait for an answer.
constexpr double gatewayPrefetchSeconds = 0.4;
// Age of granted credit from which on credit beyond the expected use is returned.
constexpr milliseconds idleCreditAge { 250 };
// Weight of the newest request in the mean size of an account's requests.
constexpr double meanRequestWeight = 0.2;

} // namespace

credit_cache::credit_cache(milliseconds creditLifetime, double fallbackFraction, credit_bursts bursts)
    : m_creditLifetime(creditLifetime)
    , m_fallbackFraction(fallbackFraction)
    , m_bursts(bursts)
{
}

void credit_cache::setLimits(const std::vector<rate_limit>& limits, monotonic_time now)
{
    std::map<std::string, account> next;
    for (const auto& limit : limits) {
        const auto known = m_accounts.find(limit.name);
        account value = known == m_accounts.end() ? account { 0, 0, now, 0, now, 0, now, 0 } : known->second;
        value.ratePerSecond = limit.ratePerSecond;
        next.emplace(limit.name, value);
    }
    m_accounts = std::move(next);
}

void credit_cache::setFallbackActive(bool isActive, monotonic_time now)
{
    if (isActive == m_isFallbackActive)
        return;
    m_isFallbackActive = isActive;
    const std::chrono::duration<double> initialFallback(m_bursts.initialFallbackSeconds);
    for (auto& [name, value] : m_accounts) {
        value.fallbackTokens = 0;
        value.fallbackFilledAt = now - std::chrono::duration_cast<monotonic_duration>(initialFallback);
    }
}

void credit_cache::advance(account& value, monotonic_time now) const
{
    if (m_bursts.expiresByGrant) {
        std::erase_if(value.grants,
            [&](const credit_grant& grant) { return now - grant.grantedAt >= m_creditLifetime; });
        value.grantedTokens = std::accumulate(value.grants.begin(), value.grants.end(), 0.0,
            [](double sum, const credit_grant& grant) { return sum + grant.tokens; });
    } else if (now - value.grantedAt >= m_creditLifetime) {
        value.grantedTokens = 0;
    }
    const double elapsed = std::max(0.0, secondsBetween(value.useDecayedAt, now));
    value.usePerSecond *= std::exp(-elapsed / gatewayUseAveragingSeconds);
    value.useDecayedAt = now;
    if (m_isFallbackActive && m_gatewayCount > 0) {
        const double fallbackRate = value.ratePerSecond * m_fallbackFraction / m_gatewayCount;
        value.fallbackTokens = std::min(fallbackRate * m_bursts.maxFallbackSeconds,
            value.fallbackTokens + fallbackRate * std::max(0.0, secondsBetween(value.fallbackFilledAt, now)));
    }
    value.fallbackFilledAt = now;
}

void credit_cache::onGrant(const std::string& name, double tokens, monotonic_time grantedAt)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end() || tokens <= 0)
        return;
    advance(found->second, grantedAt);
    found->second.grantedTokens += tokens;
    found->second.grantedAt = grantedAt;
    if (m_bursts.expiresByGrant)
        found->second.grants.push_back({ tokens, grantedAt });
}

void credit_cache::removeGranted(account& value, double tokens)
{
    value.grantedTokens -= tokens;
    for (auto grant = value.grants.begin(); grant != value.grants.end() && tokens > 0; ++grant) {
        const double taken = std::min(grant->tokens, tokens);
        grant->tokens -= taken;
        tokens -= taken;
    }
}

bool credit_cache::has(const std::string& name, double tokens, monotonic_time now)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end())
        return true;
    advance(found->second, now);
    return found->second.grantedTokens + found->second.fallbackTokens >= tokens;
}

bool credit_cache::trySpend(const std::string& name, double tokens, monotonic_time now)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end())
        return true;
    account& value = found->second;
    advance(value, now);
    if (value.grantedTokens + value.fallbackTokens < tokens)
        return false;
    const double fromGrant = std::min(value.grantedTokens, tokens);
    removeGranted(value, fromGrant);
    value.fallbackTokens -= tokens - fromGrant;
    value.usePerSecond += tokens / gatewayUseAveragingSeconds;
    value.meanRequestTokens
        += (tokens - value.meanRequestTokens) * (value.meanRequestTokens > 0 ? meanRequestWeight : 1);
    return true;
}

double credit_cache::expectedUse(const account& value)
{
    // Credit for less than one request would expire unspent and be lost to the team.
    const double expected = value.usePerSecond * gatewayPrefetchSeconds;
    return expected >= value.meanRequestTokens ? expected : 0;
}

void credit_cache::refund(const std::string& name, double tokens, monotonic_time now)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end())
        return;
    advance(found->second, now);
    found->second.grantedTokens += tokens;
    if (m_bursts.expiresByGrant)
        found->second.grants.push_back({ tokens, now });
}

double credit_cache::tokensToPrefetch(const std::string& name, monotonic_time now)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end())
        return 0;
    advance(found->second, now);
    return std::max(0.0, expectedUse(found->second) - found->second.grantedTokens);
}

double credit_cache::removeIdleCredit(const std::string& name, monotonic_time now)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end())
        return 0;
    account& value = found->second;
    advance(value, now);
    if (now - value.grantedAt < std::min(idleCreditAge, m_creditLifetime / 2))
        return 0;
    const double idle = std::max(0.0, value.grantedTokens - expectedUse(value));
    removeGranted(value, idle);
    return idle;
}

} // namespace sagesaddle
