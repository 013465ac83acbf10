#pragma once

#include "Base/clock.h"
#include "Limit/credit_account.h"
#include "Limit/rate_limiter.h"
#include "Limit/share_tenure.h"
#include "Limit/share_token_bucket.h"
#include "Record/fleet_state.h"
#include "Wire/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sagesaddle {

/// Age of the evidence at which an entry stops to admit; \see docs/design/freshness.md
inline constexpr milliseconds freshnessLimit { 2000 };

/// Time after an epoch was learned until new shares are granted from: whoever still spends credit of a
/// former holder by then does not admit any more.
inline constexpr milliseconds handoverDelay { 2 * freshnessLimit };

/// Time after which a holder that was asked counts as away.
inline constexpr milliseconds askTimeout { 150 };

/// \brief An ask and the entry that it goes to.
struct addressed_ask {
    std::string holder;
    credit_ask ask;
};

/// \brief An entry's part in the team rates: the shares it holds and its credit from others; pure.
class rate_limiter_core {
public:
    /// \brief How rates are divided; products use the defaults, the measuring tool compares others.
    struct sharing_options {
        std::uint32_t shares { sharesPerTeam };
        /// Whether credit is asked of other holders.
        bool borrows { true };
    };

    /// \param self name of this entry in the records
    /// \param run number of this process, which no other one of this name has come near: where the epoch
    /// lists another beside the name, this process holds no share. Asks are counted on from it.
    rate_limiter_core(std::string self, std::uint64_t run);
    rate_limiter_core(std::string self, std::uint64_t run, sharing_options sharing);

    /// Takes in a newer state; an older one is ignored.
    void update(fleet_state_ptr state, monotonic_time now);

    /// Charges a request to own shares and credit in hand.
    rate_decision admit(const std::string& team, token_count tokens, monotonic_time now);

    /// \return asks that may bring what a request is short of; empty while others are under way.
    std::vector<addressed_ask> asksForShortfall(
        const std::string& team, token_count tokens, monotonic_time now);

    /// To be called after a request was admitted.
    /// \return asks for credit that coming requests will need, and word of much credit spent
    std::vector<addressed_ask> asksAfterAdmission(const std::string& team, monotonic_time now);

    /// \return whether an answer to an ask for the team is awaited.
    bool isAwaitingGrant(const std::string& team, monotonic_time now);

    credit_grant answer(const credit_ask& ask, monotonic_time now);

    void onGrant(const credit_grant& grant, monotonic_time now);

    /// An ask could not be sent.
    void onAskNotSent(const credit_ask& ask, monotonic_time now);

    /// Gives back idle credit and probes holders that were away; to be called a few times a second.
    std::vector<addressed_ask> housekeep(monotonic_time now);

    std::uint64_t runId() const { return m_runId; }

    /// \return whether this process holds no shares until an epoch without it and one with it are written;
    /// not for one that another process of its name has replaced.
    bool mustRejoin() const;

    /// \return tokens that the entry could charge now without a message.
    token_count spendableTokens(const std::string& team, monotonic_time now);

private:
    /// \brief A share of a team as this entry sees it.
    struct share_state {
        team_share share;
        /// Run that the epoch lists for the holder.
        std::uint64_t holderRun { 0 };
        /// Where this entry holds it and may hand out credit.
        std::optional<share_token_bucket> holder;
        std::uint64_t heldSince { 0 };
        monotonic_time opensAt;

        /// Where another entry holds it.
        std::optional<credit_account> account;
        std::string accountName;
        token_count toldSettled { 0 };
        monotonic_time toldAt;
        std::uint64_t pendingAsk { 0 };
        monotonic_time askedAt;
        bool away { false };
        monotonic_time probedAt;
        monotonic_time emptyUntil;
    };

    /// \brief A team's record, its shares and its recent use here.
    struct team_state {
        team record;
        bool withdrawn { false };
        std::vector<share_state> shares;
        double recentTokens { 0 };
        monotonic_time usedAt;
    };

    /// \brief Credit of an asker that left the epoch, to be written off once it cannot be spent.
    struct pending_write_off {
        std::string team;
        team_share share;
        std::string asker;
        monotonic_time due;
    };

    /// \return the entry whose account has this name.
    static std::string entryOf(const std::string& accountName);

    using epoch_list = std::vector<const membership_epoch*>;

    team_state* find(const std::string& team);
    bool isOwn(const share_state& value) const { return value.share.holder == m_self; }
    bool isOpen(const share_state& value, monotonic_time now) const;
    void updateTeam(const team& record, const std::optional<epoch_list>& passed, monotonic_time now);
    std::vector<share_state> carryShares(
        team_state& value, bool isNew, const std::optional<epoch_list>& passed, monotonic_time now);
    bool isListed() const;
    bool stayed(const std::string& entry, const epoch_list& passed) const;
    bool stayedMember(const std::optional<epoch_list>& passed) const;
    bool continues(const std::string& team, const share_state& share, const epoch_list& passed) const;
    share_state openShare(const team_state& value, const team_share& share, bool isNew, monotonic_time now);
    void openAccount(share_state& value);
    void scheduleWriteOffs(const epoch_list& passed, monotonic_time now);
    void writeOffDue(monotonic_time now);
    token_count spendableTokens(team_state& value, monotonic_time now);
    void charge(team_state& value, token_count tokens, monotonic_time now);
    rate_decision refuse(team_state& value, token_count missing, monotonic_time now) const;
    void expireAsks(team_state& value, monotonic_time now);
    token_count prefetchTarget(const team_state& value, monotonic_time now) const;
    std::vector<share_state*> askable(team_state& value, monotonic_time now);
    addressed_ask makeAsk(team_state& value, share_state& share, token_count needed, token_count ahead);
    void askAhead(team_state& value, std::vector<addressed_ask>& asks, monotonic_time now);
    void housekeepShare(
        team_state& value, share_state& share, std::vector<addressed_ask>& asks, monotonic_time now);
    std::string refusalFor(const credit_ask& ask, const share_state* share, monotonic_time now) const;

    double shareRate(const team& record) const;
    token_count shareBurst(const team& record) const;

    std::string m_self;
    sharing_options m_sharing;
    std::uint64_t m_runId;
    std::uint64_t m_nextAskId;
    fleet_state_ptr m_state;
    /// Offset from which on this process has learned every record itself.
    std::uint64_t m_bornAt { 0 };
    /// Runs of the epoch that was known before the newest update.
    member_runs m_knownRuns;
    /// Whether this process joined the epochs in its life and is a member since.
    bool m_isJoined { false };
    /// Whether it ever was.
    bool m_wasJoined { false };
    monotonic_time m_epochLearnedAt;
    std::unordered_map<std::string, team_state> m_teams;
    std::vector<pending_write_off> m_writeOffs;
};

} // namespace sagesaddle
