#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace sagesaddle {

/// \brief The newest record of the coordinator lease, as read from the store.
struct coordinator_lease_record {
    /// Empty if nobody has held the lease yet or the last holder released it.
    std::string holder;
    /// Number of gateways in the fleet, as counted by the holder.
    unsigned gateways { 0 };
    /// Position after the record; see store_position.h. The next record is written there or not at all.
    std::uint64_t end { 0 };
    /// Whether the holder had waited firstOrderDelay when it wrote the record, or did not have to. An earlier
    /// holder's orders may still be on their way otherwise.
    bool isHandoverComplete { false };

    auto operator<=>(const coordinator_lease_record&) const = default;
};

/// \brief How long the lease lasts and how long a process waits before it acquires or uses it.
struct lease_times {
    /// Time without a renewal after which other processes may acquire the lease. They count it from when they
    /// read the record.
    monotonic_duration timeToLive { seconds(2) };
    /// The holder treats the lease as expired this much earlier than the others do.
    monotonic_duration expiryMargin { milliseconds(250) };
    /// Time between two renewals.
    monotonic_duration renewalInterval { milliseconds(600) };
    /// Time from acquiring the lease after another holder to the first order, so that the earlier holder's
    /// orders are no longer on their way.
    monotonic_duration firstOrderDelay { milliseconds(3500) };
    /// How much longer this process waits before it acquires a lease that is free, so that better suited
    /// processes acquire it first.
    monotonic_duration acquireDelay { 0 };
};

/// \brief Decides when a process reads, acquires, renews and releases the coordinator lease, which is held
/// through conditional appends to the store.
///
/// The holder counts the lease's time from before it sent the append that was acknowledged; all other
/// processes count from when they read the record. An append names the offset at which it must be written, so
/// an append that the store carries out late has no effect once another one was written there.
///
/// A term begins with an acknowledged append and ends when this process learns of a record of another one. It
/// cannot append after such a record without having learned of it, since it has to know the offset. The
/// fencing token is the position of the first acknowledged record of a term, so each later holder has a
/// higher one, also after the store returned from an older copy.
///
/// No I/O and no clock; not thread-safe. All times must be of a clock that goes on while the host is
/// suspended.
class coordinator_lease {
public:
    /// Read the newest record.
    struct read { };
    /// Append a record at that offset, to acquire, renew or release the lease.
    struct append {
        std::uint64_t at { 0 };
        bool isRelease { false };
        /// See coordinator_lease_record::isHandoverComplete.
        bool isHandoverComplete { false };
    };
    using action = std::variant<std::monostate, read, append>;

    /// \param self name of this process; starts with `endpointPrefix`
    /// \param endpointPrefix what the names of all processes start with that ever run at this process's
    /// endpoint; only one runs there at a time, so a lease of an earlier one is free
    coordinator_lease(std::string self, std::string endpointPrefix, lease_times times);

    /// \param hasLiveHolder whether another process is known, from its messages, to hold the lease; then the
    /// lease is neither read nor acquired
    /// \return what to do now. The caller must report the result of each read and append through one of the
    /// calls below; until then, nothing further is returned.
    action nextAction(monotonic_time now, bool hasLiveHolder);

    /// The newest record was read.
    void onRead(const coordinator_lease_record& record, monotonic_time now);
    /// The read had no usable answer.
    void onReadFailed(monotonic_time now);
    /// The holder announced its newest record to this process, which may later acquire the lease from there
    /// without a read. This process's own announcements and late ones are ignored.
    void onHolderAnnounced(const coordinator_lease_record& record, monotonic_time now);
    /// The append was acknowledged.
    /// \param sentAt when it was sent
    /// \param end offset after the record that it wrote
    void onAppended(monotonic_time sentAt, std::uint64_t end, monotonic_time now);
    /// The append was rejected, since another record was written at its offset.
    void onAppendRejected(monotonic_time now);
    /// The append was not answered. It may have been carried out, or may be later.
    void onAppendUnanswered(monotonic_time now);

    /// The store returned from an older copy: whoever acquired the lease in the lost records may still hold
    /// it. This process gives it up, and acquires it only after timeToLive.
    void onStoreReturned(monotonic_time now);

    /// Stops holding the lease and releases it with the next action; for the end of the process.
    void resign() { m_resigned = true; }

    /// \param extra time that this process waits in addition to its acquireDelay, so that the process that
    /// the whole fleet expects to acquire the lease does so first
    void setExtraAcquireDelay(monotonic_duration extra) { m_extraAcquireDelay = extra; }
    /// \param interval between reads of a lease that another process holds but sends no messages about
    void setReadInterval(monotonic_duration interval) { m_readInterval = interval; }

    /// \return whether this process holds the lease.
    bool holds(monotonic_time now) const;
    /// \return whether this process holds the lease and may send orders, firstOrderDelay having passed.
    bool maySendOrders(monotonic_time now) const;
    /// \return the fencing token of this process's term; 0 if it has none.
    std::uint64_t fence() const { return m_term ? m_term->fence : 0; }
    /// \return the holder according to the newest known record; empty if there is none.
    const std::string& knownHolder() const { return m_record.holder; }
    /// \return the newest known record.
    const coordinator_lease_record& record() const { return m_record; }

private:
    /// A time in which no other process held the lease.
    struct term {
        std::uint64_t fence { 0 };
        monotonic_time heldUntil {};
        monotonic_time ordersAllowedFrom {};
        monotonic_time renewAt {};
    };

    bool isFromSameEndpoint(const std::string& holder) const;
    /// \return whether a process that acquires the lease at the known record may send orders at once.
    bool isPredecessorDone() const;
    append makeAppend(monotonic_time now, bool isRelease) const;
    /// Replaces the known record, and ends the term if it is another process's.
    void adopt(const coordinator_lease_record& record, monotonic_time now);

    std::string m_self;
    std::string m_endpointPrefix;
    lease_times m_times;
    coordinator_lease_record m_record;
    /// Whether `m_record` may be acted on; a failed read or append ends this until a record is received
    /// again.
    bool m_knowsRecord { false };
    monotonic_time m_recordSeenAt {};
    monotonic_duration m_readInterval;
    monotonic_duration m_extraAcquireDelay { 0 };
    /// A read or append was returned and its result is not known yet.
    bool m_isAwaitingResult { false };
    bool m_isReleasing { false };
    monotonic_time m_nextActionAt {};
    /// Nothing while this process does not hold the lease; may outlast heldUntil if nobody else acquired it.
    std::optional<term> m_term;
    /// When this process learned that the store returned from an older copy.
    std::optional<monotonic_time> m_storeReturnedAt;
    bool m_resigned { false };
    bool m_released { false };
};

} // namespace sagesaddle
