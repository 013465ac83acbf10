#include "Limit/rate_limiter_core.h"

#include <algorithm>

namespace sagesaddle {

bool rate_limiter_core::mustRejoin() const
{
    if (!m_state || m_isJoined || !isMember(m_self, m_state->epoch))
        return false;
    const bool isReplaced = m_wasJoined && !isListed();
    return !isReplaced;
}

// An epoch that an older program wrote may list the name without a run.
bool rate_limiter_core::isListed() const
{
    const std::uint64_t listed = runOf(m_self, m_state->epoch);
    return isMember(m_self, m_state->epoch) && (listed == 0 || listed == m_runId);
}

// Whether an entry's process is a member in every epoch after the one known before.
bool rate_limiter_core::stayed(const std::string& entry, const epoch_list& passed) const
{
    const auto known = m_knownRuns.find(entry);
    return isListedInAll(passed, entry, known == m_knownRuns.end() ? 0 : known->second);
}

bool rate_limiter_core::stayedMember(const std::optional<epoch_list>& passed) const
{
    return passed && stayed(m_self, *passed);
}

void rate_limiter_core::update(fleet_state_ptr state, monotonic_time now)
{
    if (m_state && state->nextOffset < m_state->nextOffset)
        return;
    const std::uint64_t known = m_state ? m_state->epoch.number : 0;
    if (!m_state)
        m_bornAt = state->nextOffset;
    std::optional<epoch_list> passed = epochsAfter(*state, known);
    if (state->epoch.number != known) {
        m_epochLearnedAt = now;
        m_knownRuns = m_state ? m_state->epoch.runs : member_runs {};
    }
    m_state = std::move(state);
    const std::uint64_t since = memberSince(m_self, *m_state);
    const bool joinedHere = since != 0 && since >= m_bornAt;
    m_isJoined = isListed() && ((m_isJoined && stayedMember(passed)) || joinedHere);
    m_wasJoined = m_wasJoined || m_isJoined;
    if (passed)
        scheduleWriteOffs(*passed, now);
    for (auto& [name, value] : m_teams)
        value.withdrawn = !m_state->teams.contains(name);
    for (const auto& [name, record] : m_state->teams)
        updateTeam(record, passed, now);
    for (auto& [name, value] : m_teams)
        if (value.withdrawn && (!passed || !passed->empty()))
            value.shares = carryShares(value, false, passed, now);
}

void rate_limiter_core::updateTeam(
    const team& record, const std::optional<epoch_list>& passed, monotonic_time now)
{
    const auto [found, isNew] = m_teams.try_emplace(record.name);
    team_state& value = found->second;
    const bool changed = isNew || value.record != record;
    value.record = record;
    if (isNew || !passed || !passed->empty())
        value.shares = carryShares(value, isNew, passed, now);
    if (!changed)
        return;
    for (share_state& share : value.shares)
        if (share.holder)
            share.holder->setRate(shareRate(record), shareBurst(record), now);
}

bool rate_limiter_core::continues(
    const std::string& team, const share_state& share, const epoch_list& passed) const
{
    return isListedInAll(passed, share.share.holder, share.holderRun)
        && std::all_of(passed.begin(), passed.end(), [&](const membership_epoch* epoch) {
               const auto shares = sharesOf(team, epoch->members, m_sharing.shares);
               return std::find(shares.begin(), shares.end(), share.share) != shares.end();
           });
}

std::vector<rate_limiter_core::share_state> rate_limiter_core::carryShares(
    team_state& value, bool isNew, const std::optional<epoch_list>& passed, monotonic_time now)
{
    const bool stayed = stayedMember(passed);
    const bool createdInEpoch = isNew && passed && passed->empty();
    std::vector<share_state> carried;
    for (const team_share& share : sharesOf(value.record.name, m_state->epoch.members, m_sharing.shares)) {
        const auto old = std::find_if(value.shares.begin(), value.shares.end(),
            [&](const share_state& candidate) { return candidate.share == share; });
        if (old == value.shares.end() || !passed || !continues(value.record.name, *old, *passed)) {
            carried.push_back(openShare(value, share, createdInEpoch, now));
            continue;
        }
        carried.push_back(std::move(*old));
        if (!stayed && !isOwn(carried.back()))
            openAccount(carried.back());
    }
    return carried;
}

void rate_limiter_core::openAccount(share_state& value)
{
    value.accountName = m_self + "/" + std::to_string(m_nextAskId);
    value.account.emplace(m_nextAskId);
    value.toldSettled = 0;
    value.pendingAsk = 0;
    ++m_nextAskId;
}

rate_limiter_core::share_state rate_limiter_core::openShare(
    const team_state& value, const team_share& share, bool createdInEpoch, monotonic_time now)
{
    share_state opened;
    opened.share = share;
    opened.holderRun = runOf(share.holder, m_state->epoch);
    if (!isOwn(opened)) {
        openAccount(opened);
        return opened;
    }
    if (!isListed())
        return opened;
    const tenure_start tenure = tenureOf(value.record.name, share, *m_state, m_sharing.shares);
    if (tenure.epoch == 0 || tenure.epoch < m_bornAt)
        return opened;
    const token_count burst = shareBurst(value.record);
    const bool full = tenure.first || createdInEpoch;
    opened.heldSince = tenure.epoch;
    opened.opensAt = tenure.first ? now : std::max(now, m_epochLearnedAt + handoverDelay);
    opened.holder.emplace(shareRate(value.record), burst, full ? burst : 0, std::max(now, opened.opensAt));
    return opened;
}

void rate_limiter_core::scheduleWriteOffs(const epoch_list& passed, monotonic_time now)
{
    for (auto& [name, value] : m_teams)
        for (share_state& share : value.shares) {
            if (!share.holder)
                continue;
            for (const std::string& asker : share.holder->askers())
                if (!stayed(entryOf(asker), passed))
                    m_writeOffs.push_back({ name, share.share, asker, now + handoverDelay });
        }
}

void rate_limiter_core::writeOffDue(monotonic_time now)
{
    const auto due = std::partition(m_writeOffs.begin(), m_writeOffs.end(),
        [now](const pending_write_off& value) { return value.due > now; });
    for (auto at = due; at != m_writeOffs.end(); ++at) {
        team_state* value = find(at->team);
        if (!value)
            continue;
        for (share_state& share : value->shares)
            if (share.share == at->share && share.holder)
                share.holder->writeOff(at->asker, now);
    }
    m_writeOffs.erase(due, m_writeOffs.end());
}

} // namespace sagesaddle
