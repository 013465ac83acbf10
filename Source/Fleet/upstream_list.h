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

/// \brief A model that an upstream holds, with its adapters.
struct loaded_model {
    std::string name;
    std::vector<std::string> adapters;

    auto operator<=>(const loaded_model&) const = default;
};

/// \brief What an upstream says of itself in the platform's list.
struct upstream_entry {
    std::string id;
    std::string service;
    address endpoint;
    std::string zone;
    int slots { 1 };
    /// Leaves soon and takes no new requests.
    bool isDraining { false };
    std::vector<loaded_model> models;
    /// Orders accepted since its start.
    std::uint64_t acceptedOrders { 0 };
    /// Unix milliseconds of its start; tells two starts under one id apart.
    std::int64_t startedAt { 0 };

    auto operator<=>(const upstream_entry&) const = default;

    /// \return whether both are of one start: another start under the same id knows nothing of what was
    /// before.
    bool isSameProcess(const upstream_entry& other) const
    {
        return endpoint == other.endpoint && startedAt == other.startedAt;
    }
};

/// \brief One record of the list: an entry, or its removal.
struct upstream_record {
    std::string id;
    std::uint64_t offset { 0 };
    /// Nothing where the entry was removed.
    std::optional<upstream_entry> entry;

    auto operator<=>(const upstream_record&) const = default;
};

/// \brief Folds the platform's list of upstreams; pure.
///
/// Answers the loss of entries while the store is away: removals read within the grace after its return are
/// held back, since live upstreams are listed again within that time.
class upstream_list {
public:
    /// \param recoveryGrace how long after the store's return removals are held back
    explicit upstream_list(milliseconds recoveryGrace);

    /// Takes in a record; one older than what is known of its id changes nothing.
    void onRecord(const upstream_record& record, monotonic_time now);

    /// Takes in a whole listing: what it leaves out and is older than its end was removed.
    /// \param end the offset up to which the listing was complete when it was begun
    void onListing(const std::vector<upstream_record>& records, std::uint64_t end, monotonic_time now);

    /// The store answers again after it was away.
    void onStoreRecovered(monotonic_time now);

    /// Carries out the removals that are due.
    /// \return whether the list changed
    bool applyDueRemovals(monotonic_time now);

    const std::map<std::string, upstream_entry>& entries() const { return m_entries; }

    /// \return the offset of an entry's newest record, or 0 where it is not known.
    std::uint64_t offsetOf(const std::string& id) const;

    /// \return a number that rises with each change.
    std::uint64_t revision() const { return m_revision; }

private:
    void remove(const std::string& id, monotonic_time now);

    milliseconds m_returnGrace;
    std::map<std::string, upstream_entry> m_entries;
    std::map<std::string, std::uint64_t> m_offsets;
    std::map<std::string, monotonic_time> m_removals;
    std::optional<monotonic_time> m_heldUntil;
    std::uint64_t m_revision { 0 };
};

} // namespace sagesaddle
