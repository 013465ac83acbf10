#include "Limit/share_token_bucket.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

constexpr std::int64_t nano = 1'000'000'000;
/// Bounds that keep rates and levels in nanotokens within 64 bits.
constexpr double maxTokensPerSecond = 1e9;
constexpr token_count maxBurst = 4'000'000'000;
/// Prefetch is granted while less than the burst divided by this is outstanding.
constexpr token_count prefetchRoomDivisor = 2;
constexpr milliseconds maxWait { 86'400'000 };

__extension__ using int128 = __int128;

} // namespace

share_token_bucket::share_token_bucket(
    double tokensPerSecond, token_count burst, token_count level, monotonic_time now)
    : m_refilledAt(now)
{
    setRate(tokensPerSecond, burst, now);
    m_level = std::clamp<token_count>(level, 0, m_burst) * nano;
}

void share_token_bucket::setRate(double tokensPerSecond, token_count burst, monotonic_time now)
{
    refill(now);
    const double rate = std::clamp(tokensPerSecond, 0.0, maxTokensPerSecond);
    m_nanoTokensPerSecond = static_cast<std::int64_t>(std::floor(rate * static_cast<double>(nano)));
    m_burst = std::clamp<token_count>(burst, 0, maxBurst);
    capLevel();
}

void share_token_bucket::refill(monotonic_time now)
{
    if (now <= m_refilledAt)
        return;
    const auto elapsed = std::chrono::nanoseconds(now - m_refilledAt).count();
    m_refilledAt = now;
    const int128 refilled = static_cast<int128>(elapsed) * m_nanoTokensPerSecond + m_remainder;
    const int128 full = static_cast<int128>(m_burst) * nano;
    m_level = static_cast<std::int64_t>(std::min<int128>(m_level + refilled / nano, full));
    m_remainder = static_cast<std::int64_t>(refilled % nano);
    capLevel();
}

void share_token_bucket::capLevel()
{
    const std::int64_t room = std::max<token_count>(m_burst - m_outstanding, 0) * nano;
    if (m_level < room)
        return;
    m_level = room;
    m_remainder = 0;
}

token_count share_token_bucket::level(monotonic_time now)
{
    refill(now);
    return m_level / nano;
}

token_count share_token_bucket::debit(token_count tokens, monotonic_time now)
{
    const token_count debited = std::clamp<token_count>(tokens, 0, level(now));
    m_level -= debited * nano;
    return debited;
}

void share_token_bucket::settle(asker_account& account, const credit_settlement& settlement)
{
    const token_count settled = std::min(settlement.settledTotal, account.granted);
    const token_count returned = std::min(settlement.returnedTotal, settled);
    if (settled <= account.settled)
        return;
    m_outstanding -= settled - account.settled;
    account.settled = settled;
    if (returned > account.returned) {
        m_level += std::min(returned - account.returned, m_burst) * nano;
        account.returned = returned;
    }
    capLevel();
}

credit_debit share_token_bucket::grant(
    const credit_settlement& settlement, token_count needed, token_count prefetch, monotonic_time now)
{
    refill(now);
    asker_account& account = m_accounts[settlement.asker];
    settle(account, settlement);
    if (settlement.askId <= account.lastAskId)
        return { 0, account.granted };
    account.lastAskId = settlement.askId;
    const token_count available = level(now);
    token_count tokens = std::clamp<token_count>(needed, 0, available);
    const token_count prefetchRoom = m_burst / prefetchRoomDivisor - m_outstanding - tokens;
    tokens += std::max<token_count>(std::min({ prefetch, (available - tokens) / 2, prefetchRoom }), 0);
    m_level -= tokens * nano;
    m_outstanding += tokens;
    account.granted += tokens;
    return { tokens, account.granted };
}

void share_token_bucket::writeOff(const std::string& asker, monotonic_time now)
{
    refill(now);
    const auto found = m_accounts.find(asker);
    if (found == m_accounts.end())
        return;
    m_outstanding -= found->second.granted - found->second.settled;
    m_accounts.erase(found);
}

std::vector<std::string> share_token_bucket::askers() const
{
    std::vector<std::string> names;
    names.reserve(m_accounts.size());
    for (const auto& [name, account] : m_accounts)
        names.push_back(name);
    return names;
}

milliseconds share_token_bucket::timeUntilLevel(token_count tokens, monotonic_time now)
{
    refill(now);
    const int128 missing = static_cast<int128>(tokens) * nano - m_level;
    if (missing <= 0)
        return milliseconds(0);
    if (m_nanoTokensPerSecond == 0)
        return maxWait;
    const int128 wait = missing * 1000 / m_nanoTokensPerSecond + 1;
    return milliseconds(static_cast<milliseconds::rep>(std::min<int128>(wait, maxWait.count())));
}

} // namespace sagesaddle
