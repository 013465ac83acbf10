#include "Limit/share_tenure.h"

#include <algorithm>
#include <functional>
#include <xxhash.h>

namespace sagesaddle {

namespace {

/// \brief A member and its rendezvous weight for a team.
struct ranked_member {
    std::uint64_t weight;
    const std::string* name;
};

std::uint64_t hashOf(const std::string& text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bool outranks(const ranked_member& left, const ranked_member& right)
{
    return left.weight != right.weight ? left.weight > right.weight : *left.name < *right.name;
}

/// \return start of the unbroken sequence of epochs, up to the current one, for which a condition holds.
tenure_start startOfSequence(
    const fleet_state& state, const std::function<bool(const membership_epoch&)>& holds)
{
    if (state.epoch.number == 0 || !holds(state.epoch))
        return {};
    if (state.pastEpochs.empty())
        return { state.epoch.number, false };
    std::uint64_t since = state.epoch.number;
    for (auto past = state.pastEpochs.rbegin(); past != state.pastEpochs.rend(); ++past) {
        if (!holds(*past))
            return { since, past->number == 0 };
        since = past->number;
    }
    return {};
}

} // namespace

std::vector<team_share> sharesOf(
    const std::string& team, const std::vector<std::string>& members, std::uint32_t shares)
{
    std::vector<ranked_member> ranked;
    ranked.reserve(members.size());
    const std::uint64_t seed = hashOf(team, 0);
    for (const std::string& name : members)
        ranked.push_back({ hashOf(name, seed), &name });
    const std::size_t holders = std::min<std::size_t>(members.size(), shares);
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(holders), ranked.end(), outranks);
    std::vector<team_share> assigned;
    for (std::uint32_t share = 0; share < shares && holders > 0; ++share)
        assigned.push_back({ *ranked[share % holders].name, static_cast<std::uint32_t>(share / holders) });
    return assigned;
}

std::optional<std::vector<const membership_epoch*>> epochsAfter(
    const fleet_state& state, std::uint64_t number)
{
    std::vector<const membership_epoch*> later;
    bool found = false;
    for (const membership_epoch& past : state.pastEpochs) {
        if (found)
            later.push_back(&past);
        found = found || past.number == number;
    }
    if (state.epoch.number == number)
        return later;
    if (!found)
        return std::nullopt;
    later.push_back(&state.epoch);
    return later;
}

tenure_start tenureOf(
    const std::string& team, const team_share& share, const fleet_state& state, std::uint32_t shares)
{
    const std::uint64_t runId = runIdOf(share.holder, state.epoch);
    return startOfSequence(state, [&](const membership_epoch& epoch) {
        if (runIdOf(share.holder, epoch) != runId)
            return false;
        const auto held = sharesOf(team, epoch.members, shares);
        return std::find(held.begin(), held.end(), share) != held.end();
    });
}

std::uint64_t memberSince(const std::string& entry, const fleet_state& state)
{
    const std::uint64_t runId = runIdOf(entry, state.epoch);
    return startOfSequence(state, [&](const membership_epoch& epoch) {
        return isMember(entry, epoch) && runIdOf(entry, epoch) == runId;
    }).epoch;
}

bool isMember(const std::string& entry, const membership_epoch& epoch)
{
    return std::binary_search(epoch.members.begin(), epoch.members.end(), entry);
}

std::uint64_t runIdOf(const std::string& entry, const membership_epoch& epoch)
{
    const auto found = epoch.runs.find(entry);
    return found == epoch.runs.end() ? 0 : found->second;
}

bool isListedInAll(
    const std::vector<const membership_epoch*>& epochs, const std::string& entry, std::uint64_t runId)
{
    return std::all_of(epochs.begin(), epochs.end(), [&](const membership_epoch* epoch) {
        return isMember(entry, *epoch) && runIdOf(entry, *epoch) == runId;
    });
}

} // namespace sagesaddle
