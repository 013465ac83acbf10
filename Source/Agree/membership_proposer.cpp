#include "Agree/membership_proposer.h"

#include "Agree/peer_rotation.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

membership_proposer::membership_proposer(options settings, monotonic_time startedAt)
    : m_settings(std::move(settings))
    , m_startedAt(startedAt)
    , m_wantedSince(startedAt)
{
}

// With many entries each is asked seldom, so that it takes longer to tell that one does not answer.
milliseconds membership_proposer::memberExpiry(const fleet_state& state) const
{
    constexpr int maxMissedAnswers = 3;
    return std::max(
        m_settings.memberExpiry, maxMissedAnswers * peer_rotation::interval(state.entries.size(), false));
}

bool membership_proposer::isLive(monotonic_time now, const fleet_state& state,
    const last_answer_times& lastAnswers, const std::string& entry) const
{
    const auto found = lastAnswers.find(entry);
    return entry == m_settings.self
        || (found != lastAnswers.end() && now - found->second < memberExpiry(state));
}

std::vector<std::string> membership_proposer::wantedMembers(
    monotonic_time now, const fleet_state& state, const last_answer_times& lastAnswers) const
{
    std::vector<std::string> members;
    for (const auto& [name, entry] : state.entries) {
        const bool isMember = std::ranges::binary_search(state.epoch.members, name);
        // After the start, members had no time to answer yet.
        const bool isAwaited = isMember && now - m_startedAt < memberExpiry(state);
        if (isLive(now, state, lastAnswers, name) || isAwaited)
            members.push_back(name);
    }
    return members;
}

milliseconds membership_proposer::turnDelayOf(const std::vector<std::string>& members) const
{
    const auto self = std::ranges::find(members, m_settings.self);
    return m_settings.turnDelay * (self - members.begin());
}

std::optional<std::vector<std::string>> membership_proposer::proposal(
    monotonic_time now, const fleet_state& state, const last_answer_times& lastAnswers)
{
    std::vector<std::string> wanted = wantedMembers(now, state, lastAnswers);
    if (wanted != m_wanted) {
        m_wanted = wanted;
        m_wantedSince = now;
    }
    const auto liveCount = static_cast<std::size_t>(std::ranges::count_if(
        wanted, [&](const std::string& name) { return isLive(now, state, lastAnswers, name); }));
    const bool isMajority = 2 * liveCount > state.entries.size() && state.entries.contains(m_settings.self);
    if (!isMajority || wanted == state.epoch.members) {
        m_wantedSince = now;
        return std::nullopt;
    }
    if (now - m_wantedSince < m_settings.stableFor + turnDelayOf(wanted))
        return std::nullopt;
    m_wantedSince = now;
    return wanted;
}

} // namespace sagesaddle
