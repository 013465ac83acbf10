#include "Limit/team_credit_cache.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

// Time over which the recent use is averaged.
constexpr double useSeconds = 1.0;
// Use that is asked for ahead, so that most requests need not wait for an answer.
constexpr double aheadSeconds = 0.4;
// Age of granted credit from which what is not in steady use goes back.
constexpr milliseconds idleAfter { 250 };
// Weight of a request in the mean size of a team's requests.
constexpr double usualWeight = 0.2;
// Own share that may be saved up, and what of it is there at once.
constexpr double shareSeconds = 1.0;
constexpr std::chrono::duration<double> startShare { 0.3 };

} // namespace

team_credit_cache::team_credit_cache(milliseconds grantLife, double shareOfRate)
    : m_grantLife(grantLife)
    , m_shareOfRate(shareOfRate)
{
}

void team_credit_cache::setTeams(const std::vector<team_config>& teams, monotonic_time now)
{
    std::map<std::string, account> next;
    for (const auto& team : teams) {
        if (team.ratePerSecond <= 0)
            continue;
        const auto known = m_accounts.find(team.name);
        account value
            = known == m_accounts.end() ? account { 0, 0, 0, now, 0, now, 0, now, 0 } : known->second;
        value.ratePerSecond = team.ratePerSecond;
        value.burst = team.burst;
        next.emplace(team.name, value);
    }
    m_accounts = std::move(next);
}

void team_credit_cache::setFallbackActive(bool isAlone, monotonic_time now)
{
    if (isAlone == m_isAlone)
        return;
    m_isAlone = isAlone;
    for (auto& [name, value] : m_accounts) {
        value.share = 0;
        value.sharedAt = now - std::chrono::duration_cast<monotonic_span>(startShare);
    }
}

void team_credit_cache::settle(account& value, monotonic_time now) const
{
    if (now - value.grantedAt >= m_grantLife)
        value.inHand = 0;
    const double elapsed = std::max(0.0, secondsBetween(value.usedAt, now));
    value.use *= std::exp(-elapsed / useSeconds);
    value.usedAt = now;
    if (m_isAlone && m_entries > 0) {
        const double rate = value.ratePerSecond * m_shareOfRate / m_entries;
        value.share = std::min(
            rate * shareSeconds, value.share + rate * std::max(0.0, secondsBetween(value.sharedAt, now)));
    }
    value.sharedAt = now;
}

void team_credit_cache::onGrant(const std::string& team, double tokens, monotonic_time grantedAt)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end() || tokens <= 0)
        return;
    settle(found->second, grantedAt);
    found->second.inHand += tokens;
    found->second.grantedAt = grantedAt;
}

bool team_credit_cache::trySpend(const std::string& team, double tokens, monotonic_time now)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end())
        return true;
    account& value = found->second;
    settle(value, now);
    if (value.inHand + value.share < tokens)
        return false;
    const double fromHand = std::min(value.inHand, tokens);
    value.inHand -= fromHand;
    value.share -= tokens - fromHand;
    value.use += tokens / useSeconds;
    value.usual += (tokens - value.usual) * (value.usual > 0 ? usualWeight : 1);
    return true;
}

double team_credit_cache::useAhead(const account& value)
{
    // Credit for less than a request would lapse unspent, and be lost to the team.
    const double ahead = value.use * aheadSeconds;
    return ahead >= value.usual ? ahead : 0;
}

void team_credit_cache::refund(const std::string& team, double tokens, monotonic_time now)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end())
        return;
    settle(found->second, now);
    found->second.inHand += tokens;
}

double team_credit_cache::tokensToPrefetch(const std::string& team, monotonic_time now)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end())
        return 0;
    settle(found->second, now);
    return std::max(0.0, useAhead(found->second) - found->second.inHand);
}

double team_credit_cache::removeIdleCredit(const std::string& team, monotonic_time now)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end())
        return 0;
    account& value = found->second;
    settle(value, now);
    if (now - value.grantedAt < idleAfter)
        return 0;
    const double idle = std::max(0.0, value.inHand - useAhead(value));
    value.inHand -= idle;
    return idle;
}

} // namespace sagesaddle
