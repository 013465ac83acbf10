#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sagesaddle {

struct entry_config;

/// \brief Decides when this entry appends a snapshot, so that one is there before records lapse and few are.
///
/// The entries take turns: their order is a hash of the name and the last snapshot's offset, and each
/// waits one turn longer than the one before it.
class snapshot_schedule {
public:
    /// Records after a snapshot that make the next one due.
    static constexpr std::uint64_t dueRecords = 500;
    /// Time after which the next one is due where there was any record.
    static constexpr seconds dueTime { 3600 };
    /// How much longer each entry waits than the one before it.
    static constexpr milliseconds turn { 2000 };

    explicit snapshot_schedule(std::string self);

    /// \param snapshotOffset offset of the newest snapshot that was seen
    /// \param heldOffset offset below which this process holds every record
    /// \param earliest first offset that the log still has
    /// \return whether to append a snapshot now
    bool isDue(monotonic_time now, std::uint64_t snapshotOffset, std::uint64_t heldOffset,
        std::uint64_t earliest, const std::map<std::string, entry_config>& entries);

private:
    std::string m_self;
    std::uint64_t m_snapshotOffset { 0 };
    std::optional<monotonic_time> m_firstRecordAt;
    std::optional<monotonic_time> m_dueSince;
};

} // namespace sagesaddle
