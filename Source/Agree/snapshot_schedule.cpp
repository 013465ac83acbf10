#include "Agree/snapshot_schedule.h"

#include "Record/objects.h"

#include <utility>
#include <xxhash.h>

namespace sagesaddle {

namespace {

std::uint64_t hashOf(const std::string& entry, std::uint64_t snapshotOffset)
{
    return XXH64(entry.data(), entry.size(), snapshotOffset);
}

// Returns how many entries take their turn before this one.
std::int64_t turnIndexOf(
    const std::string& self, std::uint64_t snapshotOffset, const std::map<std::string, entry_config>& entries)
{
    const std::uint64_t own = hashOf(self, snapshotOffset);
    std::int64_t turnIndex = 0;
    for (const auto& [name, entry] : entries)
        turnIndex += name != self && hashOf(name, snapshotOffset) < own ? 1 : 0;
    return turnIndex;
}

} // namespace

snapshot_schedule::snapshot_schedule(std::string self)
    : m_self(std::move(self))
{
}

bool snapshot_schedule::isDue(monotonic_time now, std::uint64_t snapshotOffset, std::uint64_t ownNextOffset,
    std::uint64_t earliestOffset, const std::map<std::string, entry_config>& entries)
{
    if (snapshotOffset != m_snapshotOffset) {
        m_snapshotOffset = snapshotOffset;
        m_firstRecordAt.reset();
        m_dueSince.reset();
    }
    // The snapshot's own record does not count.
    if (ownNextOffset <= snapshotOffset + 1)
        return false;
    if (!m_firstRecordAt)
        m_firstRecordAt = now;
    const bool due = ownNextOffset - snapshotOffset >= maxRecordsSinceSnapshot
        || now - *m_firstRecordAt >= maxSnapshotAge || earliestOffset > snapshotOffset;
    if (!due)
        return false;
    if (!m_dueSince)
        m_dueSince = now;
    if (now - *m_dueSince < turnDelay * turnIndexOf(m_self, snapshotOffset, entries))
        return false;
    m_dueSince.reset();
    m_firstRecordAt = now;
    return true;
}

} // namespace sagesaddle
