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

/// An entry admits requests only while the confirmation that its state is the newest is younger than this.
/// \see docs/design/freshness.md
inline constexpr milliseconds freshnessLimit { 2000 };

/// Time after an epoch was learned until new shares are granted from and credit of former members is written
/// off. An entry that has not learned the epoch by then is no longer fresh, so it cannot spend old credit.
inline constexpr milliseconds handoverDelay { 2 * freshnessLimit };

/// Time after which a holder that has not answered an ask counts as away; until it answers, it is asked for
/// no tokens.
inline constexpr milliseconds askTimeout { 150 };

/// \brief An ask and the entry that it is sent to.
struct addressed_ask {
    std::string holder;
    credit_ask ask;
};

/// \brief The logic of an entry's rate limiter: the shares that it holds and its credit from other holders.
/// No I/O and no clock; not thread-safe.
class rate_limiter_core {
public:
    /// \brief How rates are divided; products use the defaults, and the measuring tool compares others.
    struct sharing_options {
        /// Shares into which each team's rate is divided.
        std::uint32_t shares { sharesPerTeam };
        /// Whether credit is asked of other holders.
        bool borrows { true };
    };

    /// \param self name of this entry in the records
    /// \param runId id of this process. Ids of asks count up from it, so it must be far from the ids of all
    /// other processes under this name. Where the epoch lists another id beside the name, this process holds
    /// no shares.
    rate_limiter_core(std::string self, std::uint64_t runId);
    rate_limiter_core(std::string self, std::uint64_t runId, sharing_options sharing);

    /// Applies a newer state; an older one is ignored.
    void update(fleet_state_ptr state, monotonic_time now);

    /// Charges a request to this entry's own shares and unspent credit.
    rate_decision admit(const std::string& team, token_count tokens, monotonic_time now);

    /// \return asks for the credit that a request of so many tokens is short of; empty while other asks for
    /// the team are unanswered.
    std::vector<addressed_ask> asksForShortfall(
        const std::string& team, token_count tokens, monotonic_time now);

    /// To be called after a request was admitted.
    /// \return asks that prefetch credit for coming requests, and asks that report much settled credit
    std::vector<addressed_ask> asksAfterAdmission(const std::string& team, monotonic_time now);

    /// \return whether an ask for the team is unanswered and has not timed out.
    bool isAwaitingGrant(const std::string& team, monotonic_time now);

    /// Answers another entry's ask from the share that it names.
    credit_grant answer(const credit_ask& ask, monotonic_time now);

    /// Applies a holder's answer to an ask of this entry.
    void onGrant(const credit_grant& grant, monotonic_time now);

    /// Marks the holder of a share as away, because an ask could not be sent to it.
    void onAskNotSent(const credit_ask& ask, monotonic_time now);

    /// Returns idle credit, reports settled credit and probes holders that were away. To be called a few
    /// times a second.
    /// \return asks to send
    std::vector<addressed_ask> runMaintenance(monotonic_time now);

    std::uint64_t runId() const { return m_runId; }

    /// \return whether this process must leave and rejoin: it holds no shares until an epoch without it, and
    /// after that one with it, are written. False for a process that another one under its name has replaced.
    bool mustRejoin() const;

    /// \return tokens that this entry could charge now without a message.
    token_count spendableTokens(const std::string& team, monotonic_time now);

private:
    /// \brief A share of a team's rate as this entry knows it.
    struct share_state {
        team_share share;
        /// Run id that the epoch lists for the holder.
        std::uint64_t holderRunId { 0 };

        // Where this entry holds the share:

        /// Empty where this process may not grant from the share.
        std::optional<share_token_bucket> bucket;
        /// Number of the epoch since which this process has held the share.
        std::uint64_t heldSinceEpoch { 0 };
        /// When the share may first be granted from.
        monotonic_time opensAt;

        // Where another entry holds the share:

        std::optional<credit_account> account;
        std::string accountName;
        /// Settled total that the holder was last told.
        token_count reportedSettled { 0 };
        monotonic_time reportedAt;
        /// Id of the unanswered ask; 0 without one.
        std::uint64_t pendingAskId { 0 };
        monotonic_time askedAt;
        /// When the holder last answered an ask with tokens, or for lack of them.
        std::optional<monotonic_time> servedAt;
        /// Whether the holder did not answer in time, could not be reached, or refused an ask for another
        /// reason than a lack of tokens.
        bool isAway { false };
        monotonic_time probedAt;
        /// Until when the holder is not asked, because it lacked tokens.
        monotonic_time emptyUntil;
    };

    /// \brief A team's record, its shares and its recent use at this entry.
    struct team_state {
        team record;
        /// Whether the record was removed. Its shares are kept, so that a team that is created again doesn't
        /// get its burst twice.
        bool withdrawn { false };
        std::vector<share_state> shares;
        /// Tokens charged lately, decayed to `usedAt`.
        double recentTokens { 0 };
        monotonic_time usedAt;
    };

    /// \brief Credit of an asker that left the epoch, to be written off once it can no longer be spent.
    struct pending_write_off {
        std::string team;
        team_share share;
        std::string asker;
        monotonic_time due;
    };

    /// \return the entry that opened the account.
    static std::string entryOf(const std::string& accountName);

    using epoch_list = std::vector<const membership_epoch*>;

    // In the functions below, `newEpochs` are the epochs after the one known before an update, oldest first;
    // nothing where the state does not remember that far back.

    team_state* findTeam(const std::string& team);
    bool isOwn(const share_state& value) const { return value.share.holder == m_self; }
    bool isOpen(const share_state& value, monotonic_time now) const;
    void updateTeam(const team& record, const std::optional<epoch_list>& newEpochs, monotonic_time now);
    /// \return the team's shares in the current epoch; state is kept where the holder held the share
    /// throughout.
    std::vector<share_state> nextShares(
        team_state& value, bool isNew, const std::optional<epoch_list>& newEpochs, monotonic_time now);
    /// \return whether the current epoch lists this process, or lists its name without a run id.
    bool isListed() const;
    /// \return whether the process that ran under the entry's name is a member in all new epochs.
    bool isRetained(const std::string& entry, const epoch_list& newEpochs) const;
    bool isSelfRetained(const std::optional<epoch_list>& newEpochs) const;
    /// \return whether the share's holder, as the same process, holds the share in all new epochs.
    bool isHeldThroughout(
        const std::string& team, const share_state& share, const epoch_list& newEpochs) const;
    /// \param createdInEpoch whether the team was created while the current epoch was known, so that no
    /// tokens of the share were used yet
    share_state makeShare(
        const team_state& value, const team_share& share, bool createdInEpoch, monotonic_time now);
    /// Starts a new account at the share's holder; credit of an earlier one is dropped.
    void openAccount(share_state& value);
    void scheduleWriteOffs(const epoch_list& newEpochs, monotonic_time now);
    void applyDueWriteOffs(monotonic_time now);
    token_count spendableTokens(team_state& value, monotonic_time now);
    /// Spends own tokens above a reserve first, then credit, then the reserve.
    void charge(team_state& value, token_count tokens, monotonic_time now);
    rate_decision refuseRequest(team_state& value, token_count missing, monotonic_time now) const;
    void expireAsks(team_state& value, monotonic_time now);
    /// \return unspent credit that the team's recent use calls for.
    token_count prefetchTarget(const team_state& value, monotonic_time now) const;
    /// \return shares of other holders that may be asked now, in an order that differs between entries.
    std::vector<share_state*> askableShares(team_state& value, monotonic_time now);
    addressed_ask makeAsk(team_state& value, share_state& share, token_count needed, token_count prefetch);
    void addPrefetchAsk(team_state& value, std::vector<addressed_ask>& asks, monotonic_time now);
    void maintainShare(
        team_state& value, share_state& share, std::vector<addressed_ask>& asks, monotonic_time now);
    /// \return why an ask is refused; empty where it is not.
    std::string askRefusal(const credit_ask& ask, const share_state* share, monotonic_time now) const;

    /// \return a share's part of the team's rate, in tokens a second.
    double shareRate(const team& record) const;
    token_count shareBurst(const team& record) const;

    std::string m_self;
    sharing_options m_sharing;
    std::uint64_t m_runId;
    std::uint64_t m_nextAskId;
    fleet_state_ptr m_state;
    /// Next offset of the first state that this process learned; it has learned every record from there on.
    std::uint64_t m_startOffset { 0 };
    /// Run ids of the epoch before the current one that this process knew.
    member_run_ids m_previousRunIds;
    /// Whether this process became a member in its lifetime and has been one since.
    bool m_isMember { false };
    /// Whether this process ever was a member.
    bool m_wasMember { false };
    monotonic_time m_epochLearnedAt;
    std::unordered_map<std::string, team_state> m_teams;
    std::vector<pending_write_off> m_writeOffs;
};

} // namespace sagesaddle
