#pragma once

#include "Fleet/duty_lease.h"
#include "Fleet/fleet_config.h"
#include "Fleet/upstream_list.h"
#include "Loop/http_caller.h"
#include "Watch/decision_lines.h"
#include "store_calls.h"

#include <utility>

namespace sagesaddle {

/// \brief What the follower tells.
struct follower_hooks {
    std::function<void(fleet_config_ptr)> onConfig;
    /// The list of upstreams changed.
    std::function<void(const std::map<std::string, upstream_entry>&)> onUpstreams;
    /// The configuration was the newest at that time, on the clock that counts suspension.
    std::function<void(monotonic_time)> onConfigConfirmed;
    /// The lease was taken, renewed or lost.
    std::function<void()> onLeaseChanged;
    /// Another process holds the lease.
    std::function<void(const std::string& member, std::uint64_t leaseEnd)> onLeaseHolder;
    /// \return whether the holder is heard to coordinate.
    std::function<bool()> hearsHolder;
    /// \return whether another gateway reads the store and tells what it finds.
    std::function<bool()> hasRecentRemoteConfirmation;
    /// \return gateways to be told in the lease.
    std::function<unsigned()> gatewayCount;
    /// Gateways that the lease's record tells.
    std::function<void(unsigned)> onGatewayCountRead;
};

/// \brief Follows the platform's store: configuration, upstreams and the lease of the duty.
class store_follower {
public:
    /// \param self this process's name in the lease; another start has another one
    store_follower(event_loop& loop, const address& store, std::string self, std::string place,
        lease_times times, decision_lines& lines, follower_hooks hooks);

    void start();
    /// Gives the lease up; the follower goes on reading.
    void resign();
    /// \param isFirst whether no other gateway is expected to take the lease before this one
    void setPreferred(bool isFirst);

    /// The holder told its newest record.
    void onRemoteLeaseRecord(const duty_record& record) { m_lease.onHeard(record, suspendedNow()); }
    /// Another gateway tells that it read the configuration up to an offset.
    /// \param confirmedAt when it began to read, on the clock that counts suspension
    void onRemoteConfirmation(std::uint64_t configEnd, monotonic_time confirmedAt);
    /// Another gateway tells records of the list.
    /// \param isWhole whether all others are gone
    void onRemoteUpstreams(const std::vector<upstream_record>& records, bool isWhole);

    /// \return the offset up to which the configuration was read here, and when that read began.
    std::optional<std::pair<std::uint64_t, monotonic_time>> configConfirmation() const;
    const upstream_list& upstreams() const { return m_upstreams; }
    const duty_lease& lease() const { return m_lease; }
    bool isStoreUnreachable() const { return m_isStoreUnreachable; }

private:
    /// A table that is read from its newest records on.
    struct table_reader {
        platform::store_table table;
        std::optional<std::uint64_t> nextOffset;
        std::vector<platform::table_record> pageRecords;
        std::uint64_t listingEnd { 0 };
        /// A call is under way.
        bool isBusy { false };
    };

    /// \return the time from a call that failed to the next one.
    milliseconds delayAfterFailure() const;
    void readTable(table_reader& reader);
    void startRead(table_reader& reader);
    void readPage(table_reader& reader, const std::string& after);
    void readTail(table_reader& reader);
    void onPage(table_reader& reader, const platform::table_page& page, monotonic_time sentAt);
    void applyRecords(
        table_reader& reader, const std::vector<platform::table_record>& records, monotonic_time sentAt);
    void applyConfig(const platform::table_record& record);
    std::optional<upstream_record> decode(const platform::table_record& record);
    void scheduleRead(table_reader& reader, milliseconds delay);
    void onCallAnswered();
    void onCallFailed(std::string_view call);
    void advanceLease();
    void readLease();
    void appendLease(const duty_lease::append& what);
    void notifyUpstreams();

    event_loop& m_loop;
    http_caller m_store;
    std::string m_self;
    duty_lease m_lease;
    bool m_isReluctant;
    decision_lines& m_lines;
    follower_hooks m_hooks;
    upstream_list m_upstreams;
    table_reader m_operatorTable { platform::store_table::Operator, {}, {}, 0, false };
    table_reader m_upstreamTable { platform::store_table::Upstreams, {}, {}, 0, false };
    timer m_operatorTableTimer;
    timer m_upstreamTableTimer;
    timer m_leaseTimer;
    std::uint64_t m_configVersion { 0 };
    std::optional<monotonic_time> m_confirmedAt;
    /// Offset up to which the configuration is known here, whether or not the next read goes on there.
    std::uint64_t m_configEnd { 0 };
    std::uint64_t m_notifiedRevision { 0 };
    monotonic_time m_lastAnswerAt {};
    bool m_isStoreUnreachable { false };
    bool m_hasListing { false };
};

} // namespace sagesaddle
