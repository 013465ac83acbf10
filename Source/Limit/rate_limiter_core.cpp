#include "Limit/rate_limiter_core.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

/// Time over which recent use is counted, and for which credit is asked ahead.
constexpr double recentUseSeconds = 1;
constexpr double prefetchSeconds = 2;
/// Credit asked ahead is at most this part of a share's burst.
constexpr token_count prefetchDivisor = 4;
/// Credit spent is told to its holder at once where it is this part of a share's burst.
constexpr token_count promptSettleDivisor = 8;
constexpr milliseconds settleInterval { 500 };
constexpr milliseconds probeInterval { 1000 };
constexpr milliseconds shortestEmpty { 5 };
constexpr milliseconds longestEmpty { 250 };
constexpr std::uint32_t holderAwayRetryMs = 250;
constexpr double mostTokensInMessage = 1e15;
constexpr double longestRetryMs = 86'400'000;

double decayed(double value, monotonic_time since, monotonic_time now)
{
    const double elapsed = secondsBetween(since, now);
    return value * std::exp(-std::max(elapsed, 0.0) / recentUseSeconds);
}

/// \return an amount of a message as whole tokens, within bounds that no sum of them exceeds.
token_count tokensOf(double amount)
{
    return static_cast<token_count>(std::clamp(amount, 0.0, mostTokensInMessage));
}

/// \return a past epoch or the current one; to be called only where the state remembers it.
const membership_epoch& epochNumbered(const fleet_state& state, std::uint64_t number)
{
    const auto past = std::find_if(state.pastEpochs.begin(), state.pastEpochs.end(),
        [number](const membership_epoch& epoch) { return epoch.number == number; });
    return past == state.pastEpochs.end() ? state.epoch : *past;
}

} // namespace

rate_limiter_core::rate_limiter_core(std::string self, std::uint64_t run)
    : rate_limiter_core(std::move(self), run, sharing_options {})
{
}

rate_limiter_core::rate_limiter_core(std::string self, std::uint64_t run, sharing_options sharing)
    : m_self(std::move(self))
    , m_sharing(sharing)
    , m_runId(run)
    , m_nextAskId(run)
{
}

double rate_limiter_core::shareRate(const team& record) const
{
    return record.rateTokensPerSecond / m_sharing.shares;
}

token_count rate_limiter_core::shareBurst(const team& record) const
{
    return static_cast<token_count>(std::max(record.burstTokens, 0.0)) / m_sharing.shares;
}

std::string rate_limiter_core::entryOf(const std::string& accountName)
{
    return accountName.substr(0, accountName.rfind('/'));
}

rate_limiter_core::team_state* rate_limiter_core::find(const std::string& team)
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? nullptr : &found->second;
}

bool rate_limiter_core::isOpen(const share_state& value, monotonic_time now) const
{
    return value.holder.has_value() && now >= value.opensAt;
}

token_count rate_limiter_core::spendableTokens(team_state& value, monotonic_time now)
{
    token_count sum = 0;
    for (share_state& share : value.shares) {
        if (share.account)
            sum += share.account->unspent();
        if (isOpen(share, now))
            sum += share.holder->level(now);
    }
    return sum;
}

token_count rate_limiter_core::spendableTokens(const std::string& team, monotonic_time now)
{
    team_state* value = find(team);
    return value && !value->withdrawn ? spendableTokens(*value, now) : 0;
}

void rate_limiter_core::charge(team_state& value, token_count tokens, monotonic_time now)
{
    value.recentTokens = decayed(value.recentTokens, value.usedAt, now) + static_cast<double>(tokens);
    value.usedAt = now;
    const token_count reserve = shareBurst(value.record) / 2;
    for (share_state& share : value.shares)
        if (isOpen(share, now))
            tokens -= share.holder->debit(std::min(tokens, share.holder->level(now) - reserve), now);
    for (share_state& share : value.shares)
        if (share.account)
            tokens -= share.account->spend(tokens);
    for (share_state& share : value.shares)
        if (isOpen(share, now))
            tokens -= share.holder->debit(tokens, now);
}

rate_decision rate_limiter_core::refuse(team_state& value, token_count missing, monotonic_time now) const
{
    const bool someAway = value.shares.empty()
        || std::any_of(value.shares.begin(), value.shares.end(), [&](const share_state& share) {
               return isOwn(share) ? !isOpen(share, now) : share.away || share.pendingAsk != 0;
           });
    const double rate = value.record.rateTokensPerSecond;
    const double wait = rate > 0 ? static_cast<double>(missing) * 1000 / rate : longestRetryMs;
    auto retryMs = static_cast<std::uint32_t>(std::clamp(std::ceil(wait), 1.0, longestRetryMs));
    if (someAway)
        return { false, "rate_holder_away", std::max(retryMs, holderAwayRetryMs) };
    return { false, "team_rate", retryMs };
}

rate_decision rate_limiter_core::admit(const std::string& team, token_count tokens, monotonic_time now)
{
    team_state* value = find(team);
    if (!value || value->withdrawn)
        return { false, "rate_holder_away", holderAwayRetryMs };
    if (tokens > shareBurst(value->record) * m_sharing.shares)
        return { false, "request_over_burst", 0 };
    writeOffDue(now);
    expireAsks(*value, now);
    const token_count available = spendableTokens(*value, now);
    if (available < tokens)
        return refuse(*value, tokens - available, now);
    charge(*value, tokens, now);
    return { true, "", 0 };
}

void rate_limiter_core::expireAsks(team_state& value, monotonic_time now)
{
    for (share_state& share : value.shares) {
        if (share.pendingAsk == 0 || now - share.askedAt < askTimeout)
            continue;
        share.pendingAsk = 0;
        share.away = true;
        share.probedAt = now;
    }
}

bool rate_limiter_core::isAwaitingGrant(const std::string& team, monotonic_time now)
{
    team_state* value = find(team);
    if (!value)
        return false;
    expireAsks(*value, now);
    return std::any_of(value->shares.begin(), value->shares.end(),
        [](const share_state& share) { return share.pendingAsk != 0; });
}

token_count rate_limiter_core::prefetchTarget(const team_state& value, monotonic_time now) const
{
    const double perSecond = decayed(value.recentTokens, value.usedAt, now) / recentUseSeconds;
    return std::min(
        static_cast<token_count>(perSecond * prefetchSeconds), shareBurst(value.record) / prefetchDivisor);
}

std::vector<rate_limiter_core::share_state*> rate_limiter_core::askable(team_state& value, monotonic_time now)
{
    std::vector<share_state*> shares;
    if (!m_sharing.borrows)
        return shares;
    const std::size_t count = value.shares.size();
    const std::size_t first = count == 0 ? 0 : std::hash<std::string> {}(m_self + value.record.name) % count;
    for (std::size_t step = 0; step < count; ++step) {
        share_state& share = value.shares[(first + step) % count];
        if (share.account && share.pendingAsk == 0 && !share.away && now >= share.emptyUntil)
            shares.push_back(&share);
    }
    return shares;
}

addressed_ask rate_limiter_core::makeAsk(
    team_state& value, share_state& share, token_count needed, token_count ahead)
{
    credit_ask ask;
    ask.id = m_nextAskId++;
    ask.team = value.record.name;
    ask.asker = share.accountName;
    ask.epoch = m_state->epoch.number;
    ask.tokens = static_cast<double>(needed + ahead);
    ask.prefetchTokens = static_cast<double>(ahead);
    ask.settledTotal = static_cast<double>(share.account->settledTotal());
    ask.returnedTotal = static_cast<double>(share.account->returnedTotal());
    ask.share = share.share.index;
    share.toldSettled = share.account->settledTotal();
    return { share.share.holder, std::move(ask) };
}

std::vector<addressed_ask> rate_limiter_core::asksForShortfall(
    const std::string& team, token_count tokens, monotonic_time now)
{
    team_state* value = find(team);
    if (!value || value->withdrawn || isAwaitingGrant(team, now))
        return {};
    const token_count missing = tokens - spendableTokens(*value, now);
    std::vector<share_state*> shares = askable(*value, now);
    if (missing <= 0 || shares.empty())
        return {};
    if (shares.size() == value->shares.size())
        shares.resize(1);
    const auto count = static_cast<token_count>(shares.size());
    const token_count each = (missing + count - 1) / count;
    const token_count ahead = prefetchTarget(*value, now) / count;
    std::vector<addressed_ask> asks;
    for (share_state* share : shares) {
        asks.push_back(makeAsk(*value, *share, each, ahead));
        share->pendingAsk = asks.back().ask.id;
        share->askedAt = now;
        share->toldAt = now;
    }
    return asks;
}

void rate_limiter_core::askAhead(team_state& value, std::vector<addressed_ask>& asks, monotonic_time now)
{
    const token_count target = prefetchTarget(value, now);
    if (target == 0 || spendableTokens(value, now) * 2 >= target)
        return;
    const std::vector<share_state*> shares = askable(value, now);
    if (shares.empty())
        return;
    share_state& share = *shares.front();
    asks.push_back(makeAsk(value, share, 0, target));
    share.pendingAsk = asks.back().ask.id;
    share.askedAt = now;
    share.toldAt = now;
}

std::vector<addressed_ask> rate_limiter_core::asksAfterAdmission(const std::string& team, monotonic_time now)
{
    team_state* value = find(team);
    if (!value || value->withdrawn || isAwaitingGrant(team, now))
        return {};
    std::vector<addressed_ask> asks;
    askAhead(*value, asks, now);
    const token_count much = std::max<token_count>(shareBurst(value->record) / promptSettleDivisor, 1);
    for (share_state& share : value->shares) {
        if (!share.account || share.away || share.account->settledTotal() - share.toldSettled < much)
            continue;
        asks.push_back(makeAsk(*value, share, 0, 0));
        share.toldAt = now;
    }
    return asks;
}

std::string rate_limiter_core::refusalFor(
    const credit_ask& ask, const share_state* share, monotonic_time now) const
{
    if (!m_state || ask.epoch > m_state->epoch.number)
        return "epoch";
    if (!share || !isOpen(*share, now))
        return "not_holder";
    if (ask.epoch < share->heldSince)
        return "epoch";
    const auto passed = epochsAfter(*m_state, ask.epoch);
    if (!passed)
        return "epoch";
    const std::string entry = entryOf(ask.asker);
    const std::uint64_t run = runOf(entry, epochNumbered(*m_state, ask.epoch));
    return isMember(entry, m_state->epoch) && isListedInAll(*passed, entry, run) ? "" : "not_member";
}

credit_grant rate_limiter_core::answer(const credit_ask& ask, monotonic_time now)
{
    writeOffDue(now);
    credit_grant grant;
    grant.id = ask.id;
    grant.team = ask.team;
    grant.holder = m_self;
    grant.epoch = m_state ? m_state->epoch.number : 0;
    grant.share = ask.share;
    share_state* held = nullptr;
    if (team_state* value = find(ask.team); value && !value->withdrawn)
        for (share_state& share : value->shares)
            if (isOwn(share) && share.share.index == ask.share)
                held = &share;
    grant.refusal = refusalFor(ask, held, now);
    if (!held || !grant.refusal.empty())
        return grant;
    const token_count ahead = tokensOf(ask.prefetchTokens);
    const token_count needed = std::max<token_count>(tokensOf(ask.tokens) - ahead, 0);
    const credit_settlement settlement { ask.asker, ask.id, tokensOf(ask.settledTotal),
        tokensOf(ask.returnedTotal) };
    const credit_debit debit = held->holder->grant(settlement, needed, ahead, now);
    grant.tokens = static_cast<double>(debit.tokens);
    grant.grantedTotal = static_cast<double>(debit.grantedTotal);
    if (debit.tokens < needed || (debit.tokens == 0 && ahead > 0)) {
        const auto wait = held->holder->timeUntilLevel(std::max<token_count>(needed - debit.tokens, 1), now);
        grant.retryAfterMs = static_cast<std::uint32_t>(wait.count());
        grant.refusal = debit.tokens == 0 ? "rate" : "";
    }
    return grant;
}

void rate_limiter_core::onGrant(const credit_grant& grant, monotonic_time now)
{
    team_state* value = find(grant.team);
    if (!value)
        return;
    const team_share from { grant.holder, grant.share };
    for (share_state& share : value->shares) {
        if (share.share != from || !share.account)
            continue;
        if (grant.id == share.pendingAsk)
            share.pendingAsk = 0;
        const bool granted = grant.refusal.empty() || grant.refusal == "rate";
        share.away = !granted;
        share.probedAt = now;
        if (granted)
            share.account->onGrant(grant.id, tokensOf(grant.grantedTotal));
        if (grant.refusal == "rate" || grant.retryAfterMs > 0)
            share.emptyUntil
                = now + std::clamp(milliseconds(grant.retryAfterMs), shortestEmpty, longestEmpty);
    }
}

void rate_limiter_core::onAskNotSent(const credit_ask& ask, monotonic_time now)
{
    team_state* value = find(ask.team);
    if (!value)
        return;
    for (share_state& share : value->shares) {
        if (share.accountName != ask.asker)
            continue;
        share.away = true;
        share.probedAt = now;
        if (share.pendingAsk == ask.id)
            share.pendingAsk = 0;
    }
}

void rate_limiter_core::housekeepShare(
    team_state& value, share_state& share, std::vector<addressed_ask>& asks, monotonic_time now)
{
    const token_count target = prefetchTarget(value, now);
    const token_count idle = share.account->unspent() - 2 * target;
    if (idle > 0)
        share.account->returnTokens(share.account->unspent() - target);
    const bool untold
        = share.account->settledTotal() != share.toldSettled && now - share.toldAt >= settleInterval;
    const bool probe = share.away && now - share.probedAt >= probeInterval;
    if (share.pendingAsk != 0 || (!untold && !probe))
        return;
    share.toldAt = now;
    share.probedAt = now;
    asks.push_back(makeAsk(value, share, 0, 0));
}

std::vector<addressed_ask> rate_limiter_core::housekeep(monotonic_time now)
{
    writeOffDue(now);
    std::vector<addressed_ask> asks;
    for (auto& [name, value] : m_teams) {
        expireAsks(value, now);
        for (share_state& share : value.shares)
            if (share.account)
                housekeepShare(value, share, asks, now);
    }
    return asks;
}

} // namespace sagesaddle
