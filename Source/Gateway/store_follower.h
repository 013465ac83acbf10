#pragma once

#include "Fleet/coordinator_lease.h"
#include "Fleet/fleet_config.h"
#include "Fleet/upstream_list.h"
#include "Fleet/zone_evacuations.h"
#include "Loop/loop_http_client.h"
#include "Watch/decision_logger.h"
#include "store_calls.h"

#include <utility>

namespace sagesaddle {

/// \brief Calls from the store follower into the rest of the process.
struct follower_hooks {
    std::function<void(fleet_config_ptr)> onConfig;
    /// The list of upstreams changed.
    std::function<void(const std::map<std::string, upstream_entry>&)> onUpstreams;
    /// The known configuration was the newest at that time, on the clock that counts suspension.
    std::function<void(monotonic_time)> onConfigConfirmed;
    /// The state of the lease may have changed.
    std::function<void()> onLeaseChanged;
    /// Another process holds the lease.
    /// \param leaseEnd offset behind the record that names it
    std::function<void(const std::string& member, std::uint64_t leaseEnd)> onLeaseHolder;
    /// \return whether the holder of the lease answers as coordinator.
    std::function<bool()> hasLiveHolder;
    /// \return whether another gateway reads the store and recently confirmed the configuration.
    std::function<bool()> hasRecentRemoteConfirmation;
    /// \return the number of gateways to write into the lease record.
    std::function<unsigned()> gatewayCount;
    /// The lease record that was read names that number of gateways.
    std::function<void(unsigned)> onGatewayCountRead;
    /// The evacuated zones or their position changed.
    std::function<void(const evacuated_zones&)> onEvacuations;
};

/// \brief Follows the platform's store: the configuration, the list of upstreams and the coordinator's lease.
class store_follower {
public:
    /// \param member name of this process in the lease, unique to this start
    /// \param memberPrefix what the names of all starts at this place begin with
    store_follower(event_loop& loop, const address& store, std::string member, std::string memberPrefix,
        lease_times times, decision_logger& lines, follower_hooks hooks);

    void start();
    /// Gives the lease up; the follower goes on reading.
    void resign();
    /// Lets the gateway that is expected to acquire the lease next acquire it before the others.
    /// \param isPreferred whether this is that gateway, or none is expected
    void setPreferred(bool isPreferred);

    /// Applies the newest lease record as sent by its holder.
    void onRemoteLeaseRecord(const coordinator_lease_record& record)
    {
        m_lease.onHolderAnnounced(record, bootTimeNow());
    }
    /// Applies another gateway's confirmation that it read the configuration up to an offset. Where that is
    /// beyond what is known here, the configuration is read from the store.
    /// \param confirmedAt when that read was sent, on the clock that counts suspension
    void onRemoteConfirmation(std::uint64_t configEnd, monotonic_time confirmedAt);
    /// Applies records of the list of upstreams as sent by another gateway.
    /// \param isWhole whether upstreams without a record are removed
    void onRemoteUpstreams(const std::vector<upstream_record>& records, bool isWhole);

    /// Applies the evacuated zones as another gateway knows them.
    void onRemoteEvacuations(const evacuated_zones& told);

    /// \return the offset up to which the configuration was read here, and when that read was sent.
    std::optional<std::pair<std::uint64_t, monotonic_time>> configConfirmation() const;
    const upstream_list& upstreams() const { return m_upstreams; }
    const coordinator_lease& lease() const { return m_lease; }
    /// \return whether nothing shows that the store answers this process: it counts as unreachable, a call
    /// for the lease had no answer and no other call was answered since it was sent, or no call was answered
    /// for the time after which the store counts as unreachable, which is so while another gateway reads it
    /// for this one.
    bool isStoreSilent() const;
    /// \return whether calls failed and none was answered for the time after which the store counts as
    /// unreachable.
    bool isStoreUnreachable() const { return m_isStoreUnreachable; }

private:
    /// State of reading one table: first the newest record of each key, in pages, then the records that
    /// follow.
    struct table_reader {
        platform::store_table table;
        /// Offset of the next record to read; nothing before the pages were read.
        std::optional<std::uint64_t> nextOffset;
        /// Records of the pages read so far.
        std::vector<platform::table_record> pageRecords;
        /// Offset up to which the pages are complete.
        std::uint64_t listingEnd { 0 };
        /// A call is under way.
        bool isBusy { false };
        /// The pages read so far had records that could not be read.
        bool hasUnreadable { false };
    };

    /// \return the delay of the next call after a failed one.
    milliseconds delayAfterFailure() const;
    /// \return the time between reads of the list of upstreams.
    milliseconds pollInterval() const;
    /// Reads the table, unless another gateway does so for this one.
    void readTable(table_reader& reader);
    void startRead(table_reader& reader);
    void readPage(table_reader& reader, const std::string& after);
    void readTail(table_reader& reader);
    void logUnreadable(const std::vector<std::string>& errors);
    void onPage(table_reader& reader, const platform::table_page& page, monotonic_time sentAt);
    void applyRecords(
        table_reader& reader, const std::vector<platform::table_record>& records, monotonic_time sentAt);
    /// Applies records of the operator's table that request or end evacuations.
    /// \param isListing whether these are the newest records of all keys, so that absent ones have ended
    void applyEvacuations(const table_reader& reader, const std::vector<platform::table_record>& records,
        bool isListing, monotonic_time sentAt);
    void notifyEvacuations();
    void applyConfig(const platform::table_record& record);
    std::optional<upstream_record> decode(const platform::table_record& record);
    void scheduleRead(table_reader& reader, milliseconds delay);
    void onCallAnswered();
    /// Applies the era that an answer of the store states. In a new era all tables are read again.
    /// \return whether the answer belongs to the era in which its call was sent, so that it may be used
    bool checkEra(const http_answer& answer, std::uint64_t eraAtCall);
    /// Reads a table again from its newest records.
    /// \param unused an answer that belongs to another era than its call
    void rereadTable(table_reader& reader, const http_answer& unused);
    /// \param call name of the call in the log
    void onCallFailed(std::string_view call);
    /// \param sentAt when the call for the lease was sent
    void onLeaseCallFailed(std::string_view call, monotonic_time sentAt);
    /// Does what the lease needs next: reads it, acquires it, renews it or gives it up.
    void advanceLease();
    void readLease();
    void appendLease(const coordinator_lease::append& what);
    void notifyUpstreams();

    event_loop& m_loop;
    loop_http_client m_store;
    std::string m_member;
    coordinator_lease m_lease;
    /// This process waits longer than others before it acquires the lease.
    bool m_hasAcquireDelay;
    decision_logger& m_lines;
    follower_hooks m_hooks;
    upstream_list m_upstreams;
    table_reader m_operatorTable { platform::store_table::Operator, {}, {}, 0, false, false };
    table_reader m_upstreamTable { platform::store_table::Upstreams, {}, {}, 0, false, false };
    zone_evacuations m_evacuations;
    evacuated_zones m_notifiedEvacuations;
    timer m_operatorTableTimer;
    timer m_upstreamTableTimer;
    timer m_leaseTimer;
    std::uint64_t m_configVersion { 0 };
    std::optional<monotonic_time> m_confirmedAt;
    /// Offset up to which the configuration is known here; kept also when the next read begins with the pages
    /// again.
    std::uint64_t m_configEnd { 0 };
    std::uint64_t m_notifiedRevision { 0 };
    /// Era of the store, which rises when the store returns from an older copy; 0 while it states none.
    std::uint64_t m_storeEra { 0 };
    /// An answer of the store was received, so that a higher era is a return.
    bool m_knowsStoreEra { false };
    monotonic_time m_lastAnswerAt {};
    bool m_isStoreUnreachable { false };
    /// A call for the lease had no answer, and no other call was answered since it was sent.
    bool m_isLeaseCallUnanswered { false };
    bool m_hasListing { false };
    /// Some service has a limit for its cold upstreams.
    bool m_hasColdServices { false };
};

} // namespace sagesaddle
