#include "Limit/credit_purse.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

// Time over which the recent use is averaged.
constexpr double useSeconds = 1.0;
// Use that is asked for ahead, so that most requests need not wait for an answer.
constexpr double aheadSeconds = 0.4;
// Own share that may be saved up, and what of it is there at once.
constexpr double shareSeconds = 1.0;
constexpr std::chrono::duration<double> startShare { 0.3 };

} // namespace

credit_purse::credit_purse(milliseconds grantLife, double shareOfRate)
    : m_grantLife(grantLife)
    , m_shareOfRate(shareOfRate)
{
}

void credit_purse::setTeams(const std::vector<team_config>& teams, monotonic_time now)
{
    std::map<std::string, account> next;
    for (const auto& team : teams) {
        if (team.ratePerSecond <= 0)
            continue;
        const auto known = m_accounts.find(team.name);
        account value = known == m_accounts.end() ? account { 0, 0, 0, now, 0, now, 0, now } : known->second;
        value.ratePerSecond = team.ratePerSecond;
        value.burst = team.burst;
        next.emplace(team.name, value);
    }
    m_accounts = std::move(next);
}

void credit_purse::setAlone(bool isAlone, monotonic_time now)
{
    if (isAlone == m_isAlone)
        return;
    m_isAlone = isAlone;
    for (auto& [name, value] : m_accounts) {
        value.share = 0;
        value.sharedAt = now - std::chrono::duration_cast<monotonic_span>(startShare);
    }
}

void credit_purse::settle(account& value, monotonic_time now) const
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

void credit_purse::onGrant(const std::string& team, double tokens, monotonic_time grantedAt)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end() || tokens <= 0)
        return;
    settle(found->second, grantedAt);
    found->second.inHand += tokens;
    found->second.grantedAt = grantedAt;
}

bool credit_purse::take(const std::string& team, double tokens, monotonic_time now)
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
    return true;
}

void credit_purse::refund(const std::string& team, double tokens, monotonic_time now)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end())
        return;
    settle(found->second, now);
    found->second.inHand += tokens;
}

double credit_purse::wantsAhead(const std::string& team, monotonic_time now)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end())
        return 0;
    settle(found->second, now);
    return std::max(0.0, found->second.use * aheadSeconds - found->second.inHand);
}

} // namespace sagesaddle
