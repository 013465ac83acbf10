#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A record of the operator's table: the evacuation of a zone is requested or ended.
struct evacuation_record {
    std::string zone;
    /// Position of the record in the store; see store_position.h.
    std::uint64_t offset { 0 };
    bool isEvacuated { true };

    auto operator<=>(const evacuation_record&) const = default;
};

/// \brief The evacuated zones, as of a position of the operator's table.
struct evacuated_zones {
    std::set<std::string> zones;
    /// Position up to which the table's records are contained; of two sets the one with the higher position
    /// is newer.
    std::uint64_t position { 0 };

    auto operator<=>(const evacuated_zones&) const = default;
};

/// \brief Builds the set of evacuated zones from the records of the operator's table, and compares it with
/// the set that another gateway told: the one with the higher position is in force.
///
/// When the store returned from an older copy, the operator's records are rewritten within a grace period.
/// Evacuations that a new era lacks are therefore ended only by a read that was sent after that period.
///
/// No I/O and no clock; not thread-safe. All times must be of a clock that goes on while the host is
/// suspended.
class zone_evacuations {
public:
    /// \param returnGrace time after a new era began for which known evacuations are kept
    explicit zone_evacuations(milliseconds returnGrace);

    /// Applies a complete listing. Zones that it lacks are no longer evacuated, unless later records were
    /// applied before.
    /// \param end position up to which the listing was complete when it began
    void onListing(const std::vector<evacuation_record>& records, std::uint64_t end, monotonic_time now);

    /// Applies single records, in the order of the table.
    /// \param end position up to which all records were applied; 0 if some could not be read
    void onRecords(const std::vector<evacuation_record>& records, std::uint64_t end, monotonic_time now);

    /// Applies the set that another gateway has in force. It is used until the table was read up to its
    /// position. One of a later era is used together with the known set, until it is told anew after the
    /// grace period.
    void onTold(const evacuated_zones& told, monotonic_time now);

    /// The table had no records beyond the applied ones when a read was sent at `confirmedAt`. Ends the
    /// evacuations whose grace period was over by then.
    void onConfirmed(monotonic_time confirmedAt);

    /// \return the evacuated zones.
    const evacuated_zones& current() const { return m_told.position > m_read.position ? m_told : m_read; }

private:
    /// Starts the grace period if the table is read in a later era than before.
    void checkEra(std::uint64_t position, monotonic_time now);
    void apply(const evacuation_record& record);
    /// Ends the evacuation of a zone without a record, at the end of the grace period if that is running.
    void endWithoutRecord(const std::string& zone, monotonic_time now);

    milliseconds m_returnGrace;
    /// As read from the table.
    evacuated_zones m_read;
    /// As told by another gateway.
    evacuated_zones m_told;
    /// Position of the newest applied record of each zone.
    std::map<std::string, std::uint64_t> m_offsets;
    /// Until when evacuations that a new era lacks are kept, by zone.
    std::map<std::string, monotonic_time> m_keptUntil;
    /// End of the grace period; nothing if no zone was evacuated when an era began.
    std::optional<monotonic_time> m_graceEndsAt;
    /// The same for the sets that are told.
    std::optional<monotonic_time> m_toldGraceEndsAt;
};

} // namespace sagesaddle
