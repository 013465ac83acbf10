#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace sagesaddle {

/// \brief The newest record of the lease, as read from the store.
struct coordinator_lease_record {
    /// Empty where nobody wrote yet or the last holder gave it up.
    std::string holder;
    /// Gateways that the holder counted.
    unsigned gateways { 0 };
    /// Offset behind the record: the next one is written there or not at all.
    std::uint64_t end { 0 };

    auto operator<=>(const coordinator_lease_record&) const = default;
};

/// \brief How long a lease lasts and what must lie between two holders' orders.
struct lease_times {
    /// Time without a renewal after which others may take the lease, counted by them from reading it.
    monotonic_span timeToLive { seconds(2) };
    /// How much earlier the holder stops by itself.
    monotonic_span expiryMargin { milliseconds(250) };
    /// Time between renewals.
    monotonic_span renewalInterval { milliseconds(600) };
    /// From taking the lease over from another holder to the first order.
    monotonic_span firstOrderDelay { milliseconds(3500) };
    /// How much longer this process waits before it takes a lease that is free, so that others come first.
    monotonic_span acquireDelay { 0 };
};

/// \brief The lease of the duty to coordinate, held through conditional appends to the store; pure.
///
/// Times are those of a clock that counts suspension. The holder counts from before it sent the append that
/// was acknowledged; everyone else counts from reading the record. An append names the offset it must take,
/// so that one that is carried out late changes nothing once another was. The fence is the offset of the
/// record that took the lease, so a later holder's is higher.
class coordinator_lease {
public:
    /// Read the newest record.
    struct read { };
    /// Append a record there, to take or renew the lease.
    struct append {
        std::uint64_t at { 0 };
        bool isRelease { false };
    };
    using action = std::variant<std::monostate, read, append>;

    /// \param place what tells this process's place from others: an earlier process in the same place is gone
    coordinator_lease(std::string self, std::string place, lease_times times);

    /// \param hasLiveHolder whether another process is heard to hold the duty: then nothing is read
    /// \return what to do now; each action is followed by its answer
    action nextAction(monotonic_time now, bool hasLiveHolder);

    void onRead(const coordinator_lease_record& record, monotonic_time now);
    void onReadFailed(monotonic_time now);
    /// The holder told its newest record; a process that hears it may take the lease from there without a
    /// read.
    void onHolderAnnounced(const coordinator_lease_record& record, monotonic_time now);
    /// The append was acknowledged.
    void onAppended(monotonic_time sentAt, std::uint64_t end, monotonic_time now);
    /// The append was declined, since the partition ends elsewhere.
    void onAppendRejected(monotonic_time now);
    /// No answer came: the append may have been or may yet be carried out.
    void onAppendUnanswered(monotonic_time now);

    /// Gives the lease up at the process's end.
    void resign() { m_resigned = true; }

    /// \param extra how much longer than by its own acquireDelay this process waits, so that the one that all
    /// others expect takes the lease first
    void setExtraAcquireDelay(monotonic_span extra) { m_deference = extra; }
    /// \param pause between reads of a lease that another process holds but is not heard to hold
    void setReadInterval(monotonic_span pause) { m_readPause = pause; }

    bool holds(monotonic_time now) const;
    bool maySendOrders(monotonic_time now) const;
    std::uint64_t fence() const { return m_fence; }
    /// \return the holder by the newest record that was read; empty where there is none.
    const std::string& knownHolder() const { return m_record.holder; }
    const coordinator_lease_record& record() const { return m_record; }

private:
    bool isFromHere(const std::string& holder) const;

    std::string m_self;
    std::string m_place;
    lease_times m_times;
    coordinator_lease_record m_record;
    bool m_knowsRecord { false };
    monotonic_time m_recordSeenAt {};
    monotonic_span m_readPause;
    monotonic_span m_deference { 0 };
    bool m_isBusy { false };
    bool m_appendIsRelease { false };
    monotonic_time m_notBefore {};
    std::optional<monotonic_time> m_until;
    monotonic_time m_mayOrderFrom {};
    monotonic_time m_renewAt {};
    std::uint64_t m_fence { 0 };
    bool m_resigned { false };
    bool m_released { false };
};

} // namespace sagesaddle
