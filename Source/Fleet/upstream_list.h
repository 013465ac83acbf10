#pragma once

#include "Base/address.h"
#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief A model that is loaded at an upstream, with its loaded adapters.
struct loaded_model {
    std::string name;
    std::vector<std::string> adapters;

    auto operator<=>(const loaded_model&) const = default;
};

/// \brief An upstream's own entry in the platform's list of upstreams.
struct upstream_entry {
    std::string id;
    std::string service;
    /// Where it accepts requests.
    address endpoint;
    std::string zone;
    /// Number of requests that it runs at the same time.
    int slots { 1 };
    /// It stops soon and must get no new requests.
    bool isDraining { false };
    std::vector<loaded_model> models;
    /// Number of orders that it accepted since its start.
    std::uint64_t acceptedOrders { 0 };
    /// When it started, in Unix milliseconds. Distinguishes processes that run under the same id one after
    /// the other.
    std::int64_t startedAt { 0 };
    /// Time for which the upstream stays cold, counted from when the entry was read; 0 if it is not cold.
    milliseconds coldRemaining { 0 };
    /// When the cold time ends, as the list of upstreams computed it; the clock's zero if it is not cold.
    monotonic_time coldUntil {};

    auto operator<=>(const upstream_entry&) const = default;

    /// \return whether both entries are of the same process. A process that was restarted under the same id
    /// has none of the earlier one's state.
    bool isSameProcess(const upstream_entry& other) const
    {
        return endpoint == other.endpoint && startedAt == other.startedAt;
    }
};

/// \brief A record of the list: an upstream's newest entry, or its removal.
struct upstream_record {
    std::string id;
    /// Offset of the record in the store.
    std::uint64_t offset { 0 };
    /// Nothing if the entry was removed.
    std::optional<upstream_entry> entry;

    auto operator<=>(const upstream_record&) const = default;
};

/// \brief Builds the list of upstreams from the records of the platform's store.
///
/// Entries of live upstreams expire while the store is unavailable, and it then reports their removal.
/// Removals that are read within a grace period after the store's recovery are therefore deferred to its end:
/// live upstreams are listed again within that time.
///
/// No I/O and no clock; not thread-safe.
class upstream_list {
public:
    /// \param recoveryGrace time after the store's recovery until which removals are deferred
    explicit upstream_list(milliseconds recoveryGrace);

    /// Applies a record. A record that is not newer than the last one of its id changes nothing.
    /// \param now time of reading, from which the cold time of the entry counts
    void onRecord(const upstream_record& record, monotonic_time now);

    /// Applies a complete listing. Known entries that it lacks are removed, unless they are newer than it.
    /// \param records all entries of the listing
    /// \param end offset up to which the listing was complete when it began
    void onListing(const std::vector<upstream_record>& records, std::uint64_t end, monotonic_time now);

    /// The store answers again after it was unavailable; starts the grace period.
    void onStoreRecovered(monotonic_time now);

    /// Carries out the deferred removals whose time has come.
    /// \return whether the list changed.
    bool applyDueRemovals(monotonic_time now);

    /// \return the listed upstreams by id.
    const std::map<std::string, upstream_entry>& entries() const { return m_entries; }

    /// \return the offset of the newest record of an id, or 0 if there is none.
    std::uint64_t offsetOf(const std::string& id) const;

    /// \return a number that grows with each change of entries().
    std::uint64_t revision() const { return m_revision; }

private:
    /// Removes an entry, at the end of the grace period if that is running.
    void remove(const std::string& id, monotonic_time now);

    milliseconds m_recoveryGrace;
    std::map<std::string, upstream_entry> m_entries;
    /// Offset of the newest record of each id, removed ones included.
    std::map<std::string, std::uint64_t> m_offsets;
    /// When each deferred removal is due, by id.
    std::map<std::string, monotonic_time> m_deferredRemovals;
    /// End of the grace period; nothing if the store was never unavailable.
    std::optional<monotonic_time> m_graceEndsAt;
    std::uint64_t m_revision { 0 };
};

} // namespace sagesaddle
