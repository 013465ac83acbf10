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

// With many entries each is heard of seldom, so that a miss takes longer to show.
milliseconds membership_proposer::missedFor(const fleet_state& state) const
{
    constexpr int missedAnswers = 3;
    return std::max(
        m_settings.missedFor, missedAnswers * peer_rotation::interval(state.entries.size(), false));
}

bool membership_proposer::hears(monotonic_time now, const fleet_state& state, const last_answer_times& heard,
    const std::string& entry) const
{
    const auto found = heard.find(entry);
    return entry == m_settings.self || (found != heard.end() && now - found->second < missedFor(state));
}

std::vector<std::string> membership_proposer::wantedMembers(
    monotonic_time now, const fleet_state& state, const last_answer_times& heard) const
{
    std::vector<std::string> members;
    for (const auto& [name, entry] : state.entries) {
        const bool isMember = std::ranges::binary_search(state.epoch.members, name);
        const bool isAwaited = isMember && now - m_startedAt < missedFor(state);
        if (hears(now, state, heard, name) || isAwaited)
            members.push_back(name);
    }
    return members;
}

milliseconds membership_proposer::turnOf(const std::vector<std::string>& members) const
{
    const auto self = std::ranges::find(members, m_settings.self);
    return m_settings.turn * (self - members.begin());
}

std::optional<std::vector<std::string>> membership_proposer::proposal(
    monotonic_time now, const fleet_state& state, const last_answer_times& heard)
{
    std::vector<std::string> wanted = wantedMembers(now, state, heard);
    if (wanted != m_wanted) {
        m_wanted = wanted;
        m_wantedSince = now;
    }
    const auto seen = static_cast<std::size_t>(std::ranges::count_if(
        wanted, [&](const std::string& name) { return hears(now, state, heard, name); }));
    const bool isMajority = 2 * seen > state.entries.size() && state.entries.contains(m_settings.self);
    if (!isMajority || wanted == state.epoch.members) {
        m_wantedSince = now;
        return std::nullopt;
    }
    if (now - m_wantedSince < m_settings.settleFor + turnOf(wanted))
        return std::nullopt;
    m_wantedSince = now;
    return wanted;
}

} // namespace sagesaddle
