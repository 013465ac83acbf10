#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sagesaddle {

struct entry_config;

/// \brief Decides when this entry appends a snapshot: before the records that it replaces lapse, and seldom
/// otherwise.
///
/// The entries take turns, so that few snapshots are appended: their order is a hash of the name and the last
/// snapshot's offset, and each waits one `turnDelay` longer than the one before it.
class snapshot_schedule {
public:
    /// Records after a snapshot that make the next one due.
    static constexpr std::uint64_t maxRecordsSinceSnapshot = 500;
    /// Time after which the next snapshot is due if there was any record.
    static constexpr seconds maxSnapshotAge { 3600 };
    /// How much longer each entry waits than the one before it.
    static constexpr milliseconds turnDelay { 2000 };

    explicit snapshot_schedule(std::string self);

    /// \param snapshotOffset offset of the newest snapshot that was seen
    /// \param ownNextOffset offset below which this process has every record
    /// \param earliestOffset first offset that the log still has
    /// \return whether to append a snapshot now; after true the wait starts again.
    bool isDue(monotonic_time now, std::uint64_t snapshotOffset, std::uint64_t ownNextOffset,
        std::uint64_t earliestOffset, const std::map<std::string, entry_config>& entries);

private:
    std::string m_self;
    std::uint64_t m_snapshotOffset { 0 };
    std::optional<monotonic_time> m_firstRecordAt;
    std::optional<monotonic_time> m_dueSince;
};

} // namespace sagesaddle
