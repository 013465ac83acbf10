#include "Limit/rate_limiter_core.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

/// Time over which recent use is averaged.
constexpr double askerUseAveragingSeconds = 1;
/// Credit is prefetched for the requests of this time, at the rate of the recent use.
constexpr double askerPrefetchSeconds = 2;
/// Credit is prefetched up to a share's burst divided by this.
constexpr token_count prefetchDivisor = 4;
/// Settled credit is reported after the next admission once it reaches a share's burst divided by this.
constexpr token_count promptReportDivisor = 8;
/// Time after which smaller amounts of settled credit are reported.
constexpr milliseconds reportInterval { 500 };
/// Time between probes of a holder that is away.
constexpr milliseconds probeInterval { 1000 };
/// Bounds of the time for which a holder that lacked tokens is not asked.
constexpr milliseconds minEmptyPause { 5 };
constexpr milliseconds maxEmptyPause { 250 };
/// Shortest time until a retry where a holder is away.
constexpr std::uint32_t holderAwayRetryMs = 250;
/// Age up to which a holder's answer shows that it is there, although a later ask is unanswered yet.
constexpr milliseconds maxServedAge = 2 * askTimeout;
/// Largest amount that is read from a message; no sum of such amounts overflows.
constexpr double maxTokensInMessage = 1e15;
/// One day; also the retry time where a team's rate is 0.
constexpr double maxRetryMs = 86'400'000;

/// \return a decaying sum as it is now, from its value at an earlier time.
double decayed(double value, monotonic_time since, monotonic_time now)
{
    const double elapsed = secondsBetween(since, now);
    return value * std::exp(-std::max(elapsed, 0.0) / askerUseAveragingSeconds);
}

/// \return an amount from a message as whole tokens, from 0 to `maxTokensInMessage`.
token_count wholeTokens(double amount)
{
    return static_cast<token_count>(std::clamp(amount, 0.0, maxTokensInMessage));
}

/// \return the epoch of this number, past or current. The state must remember it.
const membership_epoch& epochOfNumber(const fleet_state& state, std::uint64_t number)
{
    const auto past = std::find_if(state.pastEpochs.begin(), state.pastEpochs.end(),
        [number](const membership_epoch& epoch) { return epoch.number == number; });
    return past == state.pastEpochs.end() ? state.epoch : *past;
}

} // namespace

rate_limiter_core::rate_limiter_core(std::string self, std::uint64_t runId)
    : rate_limiter_core(std::move(self), runId, sharing_options {})
{
}

rate_limiter_core::rate_limiter_core(std::string self, std::uint64_t runId, sharing_options sharing)
    : m_self(std::move(self))
    , m_sharing(sharing)
    , m_runId(runId)
    , m_nextAskId(runId)
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

rate_limiter_core::team_state* rate_limiter_core::findTeam(const std::string& team)
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? nullptr : &found->second;
}

bool rate_limiter_core::isOpen(const share_state& value, monotonic_time now) const
{
    return value.bucket.has_value() && now >= value.opensAt;
}

token_count rate_limiter_core::spendableTokens(team_state& value, monotonic_time now)
{
    token_count sum = 0;
    for (share_state& share : value.shares) {
        if (share.account)
            sum += share.account->unspent();
        if (isOpen(share, now))
            sum += share.bucket->level(now);
    }
    return sum;
}

token_count rate_limiter_core::spendableTokens(const std::string& team, monotonic_time now)
{
    team_state* value = findTeam(team);
    return value && !value->withdrawn ? spendableTokens(*value, now) : 0;
}

void rate_limiter_core::charge(team_state& value, token_count tokens, monotonic_time now)
{
    value.recentTokens = decayed(value.recentTokens, value.usedAt, now) + static_cast<double>(tokens);
    value.usedAt = now;
    const token_count reserve = shareBurst(value.record) / 2;
    for (share_state& share : value.shares)
        if (isOpen(share, now))
            tokens -= share.bucket->debit(std::min(tokens, share.bucket->level(now) - reserve), now);
    for (share_state& share : value.shares)
        if (share.account)
            tokens -= share.account->spend(tokens);
    for (share_state& share : value.shares)
        if (isOpen(share, now))
            tokens -= share.bucket->debit(tokens, now);
}

rate_decision rate_limiter_core::refuseRequest(
    team_state& value, token_count missing, monotonic_time now) const
{
    const bool isSomeShareUnavailable = value.shares.empty()
        || std::any_of(value.shares.begin(), value.shares.end(), [&](const share_state& share) {
               if (isOwn(share))
                   return !isOpen(share, now);
               const bool servedLately = share.servedAt && now - *share.servedAt < maxServedAge;
               return share.isAway || (share.pendingAskId != 0 && !servedLately);
           });
    const double rate = value.record.rateTokensPerSecond;
    const double waitMs = rate > 0 ? static_cast<double>(missing) * 1000 / rate : maxRetryMs;
    auto retryMs = static_cast<std::uint32_t>(std::clamp(std::ceil(waitMs), 1.0, maxRetryMs));
    if (isSomeShareUnavailable)
        return { false, "rate_holder_away", std::max(retryMs, holderAwayRetryMs) };
    return { false, "team_rate", retryMs };
}

rate_decision rate_limiter_core::admit(const std::string& team, token_count tokens, monotonic_time now)
{
    team_state* value = findTeam(team);
    if (!value || value->withdrawn)
        return { false, "rate_holder_away", holderAwayRetryMs };
    if (tokens > shareBurst(value->record) * m_sharing.shares)
        return { false, "request_over_burst", 0 };
    applyDueWriteOffs(now);
    expireAsks(*value, now);
    const token_count available = spendableTokens(*value, now);
    if (available < tokens)
        return refuseRequest(*value, tokens - available, now);
    charge(*value, tokens, now);
    return { true, "", 0 };
}

void rate_limiter_core::expireAsks(team_state& value, monotonic_time now)
{
    for (share_state& share : value.shares) {
        if (share.pendingAskId == 0 || now - share.askedAt < askTimeout)
            continue;
        share.pendingAskId = 0;
        share.isAway = true;
        share.probedAt = now;
    }
}

bool rate_limiter_core::isAwaitingGrant(const std::string& team, monotonic_time now)
{
    team_state* value = findTeam(team);
    if (!value)
        return false;
    expireAsks(*value, now);
    return std::any_of(value->shares.begin(), value->shares.end(),
        [](const share_state& share) { return share.pendingAskId != 0; });
}

token_count rate_limiter_core::prefetchTarget(const team_state& value, monotonic_time now) const
{
    const double perSecond = decayed(value.recentTokens, value.usedAt, now) / askerUseAveragingSeconds;
    return std::min(static_cast<token_count>(perSecond * askerPrefetchSeconds),
        shareBurst(value.record) / prefetchDivisor);
}

std::vector<rate_limiter_core::share_state*> rate_limiter_core::askableShares(
    team_state& value, monotonic_time now)
{
    std::vector<share_state*> shares;
    if (!m_sharing.borrows)
        return shares;
    const std::size_t count = value.shares.size();
    const std::size_t first = count == 0 ? 0 : std::hash<std::string> {}(m_self + value.record.name) % count;
    for (std::size_t step = 0; step < count; ++step) {
        share_state& share = value.shares[(first + step) % count];
        if (share.account && share.pendingAskId == 0 && !share.isAway && now >= share.emptyUntil)
            shares.push_back(&share);
    }
    return shares;
}

addressed_ask rate_limiter_core::makeAsk(
    team_state& value, share_state& share, token_count needed, token_count prefetch)
{
    credit_ask ask;
    ask.id = m_nextAskId++;
    ask.team = value.record.name;
    ask.asker = share.accountName;
    ask.epoch = m_state->epoch.number;
    ask.tokens = static_cast<double>(needed + prefetch);
    ask.prefetchTokens = static_cast<double>(prefetch);
    ask.settledTotal = static_cast<double>(share.account->settledTotal());
    ask.returnedTotal = static_cast<double>(share.account->returnedTotal());
    ask.share = share.share.index;
    share.reportedSettled = share.account->settledTotal();
    return { share.share.holder, std::move(ask) };
}

std::vector<addressed_ask> rate_limiter_core::asksForShortfall(
    const std::string& team, token_count tokens, monotonic_time now)
{
    team_state* value = findTeam(team);
    if (!value || value->withdrawn || isAwaitingGrant(team, now))
        return {};
    const token_count missing = tokens - spendableTokens(*value, now);
    std::vector<share_state*> shares = askableShares(*value, now);
    if (missing <= 0 || shares.empty())
        return {};
    // Where all shares are askable, this entry holds none; one holder is asked for everything missing.
    if (shares.size() == value->shares.size())
        shares.resize(1);
    const auto count = static_cast<token_count>(shares.size());
    const token_count missingEach = (missing + count - 1) / count;
    const token_count prefetchEach = prefetchTarget(*value, now) / count;
    std::vector<addressed_ask> asks;
    for (share_state* share : shares) {
        asks.push_back(makeAsk(*value, *share, missingEach, prefetchEach));
        share->pendingAskId = asks.back().ask.id;
        share->askedAt = now;
        share->reportedAt = now;
    }
    return asks;
}

void rate_limiter_core::addPrefetchAsk(
    team_state& value, std::vector<addressed_ask>& asks, monotonic_time now)
{
    const token_count target = prefetchTarget(value, now);
    if (target == 0 || spendableTokens(value, now) * 2 >= target)
        return;
    const std::vector<share_state*> shares = askableShares(value, now);
    if (shares.empty())
        return;
    share_state& share = *shares.front();
    asks.push_back(makeAsk(value, share, 0, target));
    share.pendingAskId = asks.back().ask.id;
    share.askedAt = now;
    share.reportedAt = now;
}

std::vector<addressed_ask> rate_limiter_core::asksAfterAdmission(const std::string& team, monotonic_time now)
{
    team_state* value = findTeam(team);
    if (!value || value->withdrawn || isAwaitingGrant(team, now))
        return {};
    std::vector<addressed_ask> asks;
    addPrefetchAsk(*value, asks, now);
    const token_count promptAmount
        = std::max<token_count>(shareBurst(value->record) / promptReportDivisor, 1);
    for (share_state& share : value->shares) {
        if (!share.account || share.isAway
            || share.account->settledTotal() - share.reportedSettled < promptAmount)
            continue;
        asks.push_back(makeAsk(*value, share, 0, 0));
        share.reportedAt = now;
    }
    return asks;
}

std::string rate_limiter_core::askRefusal(
    const credit_ask& ask, const share_state* share, monotonic_time now) const
{
    if (!m_state || ask.epoch > m_state->epoch.number)
        return "epoch";
    if (!share || !isOpen(*share, now))
        return "not_holder";
    if (ask.epoch < share->heldSinceEpoch)
        return "epoch";
    const auto newEpochs = epochsAfter(*m_state, ask.epoch);
    if (!newEpochs)
        return "epoch";
    const std::string entry = entryOf(ask.asker);
    const std::uint64_t runId = runIdOf(entry, epochOfNumber(*m_state, ask.epoch));
    return isMember(entry, m_state->epoch) && isListedInAll(*newEpochs, entry, runId) ? "" : "not_member";
}

credit_grant rate_limiter_core::answer(const credit_ask& ask, monotonic_time now)
{
    applyDueWriteOffs(now);
    credit_grant grant;
    grant.id = ask.id;
    grant.team = ask.team;
    grant.holder = m_self;
    grant.epoch = m_state ? m_state->epoch.number : 0;
    grant.share = ask.share;
    share_state* ownShare = nullptr;
    if (team_state* value = findTeam(ask.team); value && !value->withdrawn)
        for (share_state& share : value->shares)
            if (isOwn(share) && share.share.index == ask.share)
                ownShare = &share;
    grant.refusal = askRefusal(ask, ownShare, now);
    if (!ownShare || !grant.refusal.empty())
        return grant;
    const token_count prefetch = wholeTokens(ask.prefetchTokens);
    const token_count needed = std::max<token_count>(wholeTokens(ask.tokens) - prefetch, 0);
    const credit_settlement settlement { ask.asker, ask.id, wholeTokens(ask.settledTotal),
        wholeTokens(ask.returnedTotal) };
    const credit_debit debit = ownShare->bucket->grant(settlement, needed, prefetch, now);
    grant.tokens = static_cast<double>(debit.tokens);
    grant.grantedTotal = static_cast<double>(debit.grantedTotal);
    if (debit.tokens < needed || (debit.tokens == 0 && prefetch > 0)) {
        const auto wait
            = ownShare->bucket->timeUntilLevel(std::max<token_count>(needed - debit.tokens, 1), now);
        grant.retryAfterMs = static_cast<std::uint32_t>(wait.count());
        grant.refusal = debit.tokens == 0 ? "rate" : "";
    }
    return grant;
}

void rate_limiter_core::onGrant(const credit_grant& grant, monotonic_time now)
{
    team_state* value = findTeam(grant.team);
    if (!value)
        return;
    const team_share answered { grant.holder, grant.share };
    for (share_state& share : value->shares) {
        if (share.share != answered || !share.account)
            continue;
        if (grant.id == share.pendingAskId)
            share.pendingAskId = 0;
        const bool isHolderServing = grant.refusal.empty() || grant.refusal == "rate";
        share.isAway = !isHolderServing;
        share.probedAt = now;
        if (isHolderServing) {
            share.servedAt = now;
            share.account->onGrant(grant.id, wholeTokens(grant.grantedTotal));
        }
        if (grant.refusal == "rate" || grant.retryAfterMs > 0)
            share.emptyUntil
                = now + std::clamp(milliseconds(grant.retryAfterMs), minEmptyPause, maxEmptyPause);
    }
}

void rate_limiter_core::onAskNotSent(const credit_ask& ask, monotonic_time now)
{
    team_state* value = findTeam(ask.team);
    if (!value)
        return;
    for (share_state& share : value->shares) {
        if (share.accountName != ask.asker)
            continue;
        share.isAway = true;
        share.probedAt = now;
        if (share.pendingAskId == ask.id)
            share.pendingAskId = 0;
    }
}

void rate_limiter_core::maintainShare(
    team_state& value, share_state& share, std::vector<addressed_ask>& asks, monotonic_time now)
{
    const token_count target = prefetchTarget(value, now);
    // Credit is returned only above twice the target, and then down to the target.
    const token_count idle = share.account->unspent() - 2 * target;
    if (idle > 0)
        share.account->returnTokens(share.account->unspent() - target);
    const bool isReportDue
        = share.account->settledTotal() != share.reportedSettled && now - share.reportedAt >= reportInterval;
    const bool isProbeDue = share.isAway && now - share.probedAt >= probeInterval;
    if (share.pendingAskId != 0 || (!isReportDue && !isProbeDue))
        return;
    share.reportedAt = now;
    share.probedAt = now;
    asks.push_back(makeAsk(value, share, 0, 0));
}

std::vector<addressed_ask> rate_limiter_core::runMaintenance(monotonic_time now)
{
    applyDueWriteOffs(now);
    std::vector<addressed_ask> asks;
    for (auto& [name, value] : m_teams) {
        expireAsks(value, now);
        for (share_state& share : value.shares)
            if (share.account)
                maintainShare(value, share, asks, now);
    }
    return asks;
}

} // namespace sagesaddle
