#include "Agree/snapshot_schedule.h"

#include "Record/objects.h"

#include <utility>
#include <xxhash.h>

namespace sagesaddle {

namespace {

std::uint64_t weightOf(const std::string& entry, std::uint64_t snapshotOffset)
{
    return XXH64(entry.data(), entry.size(), snapshotOffset);
}

// How many entries come before this one.
std::int64_t rankOf(
    const std::string& self, std::uint64_t snapshotOffset, const std::map<std::string, entry_config>& entries)
{
    const std::uint64_t own = weightOf(self, snapshotOffset);
    std::int64_t rank = 0;
    for (const auto& [name, entry] : entries)
        rank += name != self && weightOf(name, snapshotOffset) < own ? 1 : 0;
    return rank;
}

} // namespace

snapshot_schedule::snapshot_schedule(std::string self)
    : m_self(std::move(self))
{
}

bool snapshot_schedule::isDue(monotonic_time now, std::uint64_t snapshotOffset, std::uint64_t heldOffset,
    std::uint64_t earliest, const std::map<std::string, entry_config>& entries)
{
    if (snapshotOffset != m_snapshotOffset) {
        m_snapshotOffset = snapshotOffset;
        m_firstRecordAt.reset();
        m_dueSince.reset();
    }
    if (heldOffset <= snapshotOffset + 1)
        return false;
    if (!m_firstRecordAt)
        m_firstRecordAt = now;
    const bool due = heldOffset - snapshotOffset >= dueRecords || now - *m_firstRecordAt >= dueTime
        || earliest > snapshotOffset;
    if (!due)
        return false;
    if (!m_dueSince)
        m_dueSince = now;
    if (now - *m_dueSince < turn * rankOf(m_self, snapshotOffset, entries))
        return false;
    m_dueSince.reset();
    m_firstRecordAt = now;
    return true;
}

} // namespace sagesaddle
