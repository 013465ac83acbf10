#include "Limit/rate_limiter_core.h"

#include <algorithm>

namespace sagesaddle {

bool rate_limiter_core::mustRejoin() const
{
    if (!m_state || m_isMember || !isMember(m_self, m_state->epoch))
        return false;
    const bool isReplaced = m_wasMember && !isListed();
    return !isReplaced;
}

bool rate_limiter_core::isListed() const
{
    // An epoch that an older program wrote lists names without run ids.
    const std::uint64_t listed = runIdOf(m_self, m_state->epoch);
    return isMember(m_self, m_state->epoch) && (listed == 0 || listed == m_runId);
}

bool rate_limiter_core::isRetained(const std::string& entry, const epoch_list& newEpochs) const
{
    const auto previous = m_previousRunIds.find(entry);
    return isListedInAll(newEpochs, entry, previous == m_previousRunIds.end() ? 0 : previous->second);
}

bool rate_limiter_core::isSelfRetained(const std::optional<epoch_list>& newEpochs) const
{
    return newEpochs && isRetained(m_self, *newEpochs);
}

void rate_limiter_core::update(fleet_state_ptr state, monotonic_time now)
{
    if (m_state && state->nextOffset < m_state->nextOffset)
        return;
    const std::uint64_t knownEpoch = m_state ? m_state->epoch.number : 0;
    if (!m_state)
        m_startOffset = state->nextOffset;
    std::optional<epoch_list> newEpochs = epochsAfter(*state, knownEpoch);
    if (state->epoch.number != knownEpoch) {
        m_epochLearnedAt = now;
        m_previousRunIds = m_state ? m_state->epoch.runs : member_run_ids {};
    }
    m_state = std::move(state);
    const std::uint64_t since = memberSince(m_self, *m_state);
    const bool joinedInLifetime = since != 0 && since >= m_startOffset;
    m_isMember = isListed() && ((m_isMember && isSelfRetained(newEpochs)) || joinedInLifetime);
    m_wasMember = m_wasMember || m_isMember;
    if (newEpochs)
        scheduleWriteOffs(*newEpochs, now);
    for (auto& [name, value] : m_teams)
        value.withdrawn = !m_state->teams.contains(name);
    for (const auto& [name, record] : m_state->teams)
        updateTeam(record, newEpochs, now);
    for (auto& [name, value] : m_teams)
        if (value.withdrawn && (!newEpochs || !newEpochs->empty()))
            value.shares = nextShares(value, false, newEpochs, now);
}

void rate_limiter_core::updateTeam(
    const team& record, const std::optional<epoch_list>& newEpochs, monotonic_time now)
{
    const auto [found, isNew] = m_teams.try_emplace(record.name);
    team_state& value = found->second;
    const bool changed = isNew || value.record != record;
    value.record = record;
    if (isNew || !newEpochs || !newEpochs->empty())
        value.shares = nextShares(value, isNew, newEpochs, now);
    if (!changed)
        return;
    for (share_state& share : value.shares)
        if (share.bucket)
            share.bucket->setRate(shareRate(record), shareBurst(record), now);
}

bool rate_limiter_core::isHeldThroughout(
    const std::string& team, const share_state& share, const epoch_list& newEpochs) const
{
    return isListedInAll(newEpochs, share.share.holder, share.holderRunId)
        && std::all_of(newEpochs.begin(), newEpochs.end(), [&](const membership_epoch* epoch) {
               const auto shares = sharesOf(team, epoch->members, m_sharing.shares);
               return std::find(shares.begin(), shares.end(), share.share) != shares.end();
           });
}

std::vector<rate_limiter_core::share_state> rate_limiter_core::nextShares(
    team_state& value, bool isNew, const std::optional<epoch_list>& newEpochs, monotonic_time now)
{
    const bool keepsAccounts = isSelfRetained(newEpochs);
    const bool createdInEpoch = isNew && newEpochs && newEpochs->empty();
    std::vector<share_state> next;
    for (const team_share& share : sharesOf(value.record.name, m_state->epoch.members, m_sharing.shares)) {
        const auto previous = std::find_if(value.shares.begin(), value.shares.end(),
            [&](const share_state& candidate) { return candidate.share == share; });
        if (previous == value.shares.end() || !newEpochs
            || !isHeldThroughout(value.record.name, *previous, *newEpochs)) {
            next.push_back(makeShare(value, share, createdInEpoch, now));
            continue;
        }
        next.push_back(std::move(*previous));
        if (!keepsAccounts && !isOwn(next.back()))
            openAccount(next.back());
    }
    return next;
}

void rate_limiter_core::openAccount(share_state& value)
{
    value.accountName = m_self + "/" + std::to_string(m_nextAskId);
    value.account.emplace(m_nextAskId);
    value.reportedSettled = 0;
    value.pendingAskId = 0;
    ++m_nextAskId;
}

rate_limiter_core::share_state rate_limiter_core::makeShare(
    const team_state& value, const team_share& share, bool createdInEpoch, monotonic_time now)
{
    share_state created;
    created.share = share;
    created.holderRunId = runIdOf(share.holder, m_state->epoch);
    if (!isOwn(created)) {
        openAccount(created);
        return created;
    }
    if (!isListed())
        return created;
    const tenure_start tenure = tenureOf(value.record.name, share, *m_state, m_sharing.shares);
    if (tenure.epoch == 0 || tenure.epoch < m_startOffset)
        return created;
    const token_count burst = shareBurst(value.record);
    const bool startsFull = tenure.first || createdInEpoch;
    created.heldSinceEpoch = tenure.epoch;
    created.opensAt = tenure.first ? now : std::max(now, m_epochLearnedAt + handoverDelay);
    created.bucket.emplace(
        shareRate(value.record), burst, startsFull ? burst : 0, std::max(now, created.opensAt));
    return created;
}

void rate_limiter_core::scheduleWriteOffs(const epoch_list& newEpochs, monotonic_time now)
{
    for (auto& [name, value] : m_teams)
        for (share_state& share : value.shares) {
            if (!share.bucket)
                continue;
            for (const std::string& asker : share.bucket->askers())
                if (!isRetained(entryOf(asker), newEpochs))
                    m_writeOffs.push_back({ name, share.share, asker, now + handoverDelay });
        }
}

void rate_limiter_core::applyDueWriteOffs(monotonic_time now)
{
    const auto due = std::partition(m_writeOffs.begin(), m_writeOffs.end(),
        [now](const pending_write_off& value) { return value.due > now; });
    for (auto at = due; at != m_writeOffs.end(); ++at) {
        team_state* value = findTeam(at->team);
        if (!value)
            continue;
        for (share_state& share : value->shares)
            if (share.share == at->share && share.bucket)
                share.bucket->writeOff(at->asker, now);
    }
    m_writeOffs.erase(due, m_writeOffs.end());
}

} // namespace sagesaddle
