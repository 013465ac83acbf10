#include "Fleet/upstream_list.h"

#include <set>

namespace sagesaddle {

upstream_list::upstream_list(milliseconds recoveryGrace)
    : m_recoveryGrace(recoveryGrace)
{
}

void upstream_list::remove(const std::string& id, monotonic_time now)
{
    if (!m_entries.contains(id))
        return;
    if (m_graceEndsAt && now < *m_graceEndsAt) {
        m_deferredRemovals.emplace(id, *m_graceEndsAt);
        return;
    }
    m_entries.erase(id);
    m_deferredRemovals.erase(id);
    ++m_revision;
}

void upstream_list::onRecord(const upstream_record& record, monotonic_time now)
{
    const auto known = m_offsets.find(record.id);
    if (known != m_offsets.end() && known->second >= record.offset)
        return;
    m_offsets[record.id] = record.offset;
    if (!record.entry) {
        remove(record.id, now);
        return;
    }
    m_deferredRemovals.erase(record.id);
    const auto [position, isNew] = m_entries.try_emplace(record.id, *record.entry);
    upstream_entry entry = *record.entry;
    // An older copy of the store may list a process as it was before it began to drain.
    entry.isDraining = entry.isDraining
        || (!isNew && position->second.isDraining && position->second.isSameProcess(entry));
    entry.coldUntil = entry.coldRemaining > milliseconds(0) ? now + entry.coldRemaining : monotonic_time {};
    if (!isNew && position->second == entry)
        return;
    position->second = std::move(entry);
    ++m_revision;
}

void upstream_list::onListing(
    const std::vector<upstream_record>& records, std::uint64_t end, monotonic_time now)
{
    std::set<std::string> listed;
    for (const auto& record : records) {
        listed.insert(record.id);
        onRecord(record, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!listed.contains(id) && m_offsets[id] < end)
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now);
}

void upstream_list::onStoreRecovered(monotonic_time now)
{
    m_graceEndsAt = now + m_recoveryGrace;
}

bool upstream_list::applyDueRemovals(monotonic_time now)
{
    const std::uint64_t before = m_revision;
    for (auto removal = m_deferredRemovals.begin(); removal != m_deferredRemovals.end();) {
        if (removal->second > now) {
            ++removal;
            continue;
        }
        m_revision += m_entries.erase(removal->first);
        removal = m_deferredRemovals.erase(removal);
    }
    return m_revision != before;
}

std::uint64_t upstream_list::offsetOf(const std::string& id) const
{
    const auto found = m_offsets.find(id);
    return found == m_offsets.end() ? 0 : found->second;
}

} // namespace sagesaddle
