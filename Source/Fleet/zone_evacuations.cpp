#include "Fleet/zone_evacuations.h"

#include "Fleet/store_position.h"

#include <algorithm>

namespace sagesaddle {

zone_evacuations::zone_evacuations(milliseconds returnGrace)
    : m_returnGrace(returnGrace)
{
}

void zone_evacuations::onListing(
    const std::vector<evacuation_record>& records, std::uint64_t end, monotonic_time now)
{
    const bool isOutdated = end < m_read.position;
    onRecords(records, end, now);
    if (isOutdated)
        return;
    std::set<std::string> missing = m_read.zones;
    for (const auto& record : records)
        missing.erase(record.zone);
    for (const auto& zone : missing)
        endWithoutRecord(zone, now);
}

void zone_evacuations::onRecords(
    const std::vector<evacuation_record>& records, std::uint64_t end, monotonic_time now)
{
    checkEra(end, now);
    for (const auto& record : records)
        apply(record);
    m_read.position = std::max(m_read.position, end);
}

void zone_evacuations::onTold(const evacuated_zones& told, monotonic_time now)
{
    if (told.position < m_told.position)
        return;
    const evacuated_zones known = current();
    if (!known.zones.empty() && eraOfPosition(told.position) > eraOfPosition(known.position))
        m_toldGraceEndsAt = now + m_returnGrace;
    m_told = told;
    if (m_toldGraceEndsAt && now < *m_toldGraceEndsAt)
        m_told.zones.insert(known.zones.begin(), known.zones.end());
}

void zone_evacuations::onConfirmed(monotonic_time confirmedAt)
{
    std::erase_if(m_keptUntil, [&](const auto& kept) {
        if (kept.second > confirmedAt)
            return false;
        m_read.zones.erase(kept.first);
        return true;
    });
}

void zone_evacuations::checkEra(std::uint64_t position, monotonic_time now)
{
    if (eraOfPosition(position) <= eraOfPosition(m_read.position) || current().zones.empty())
        return;
    // The evacuations that were told may have been beyond the last position that was read.
    m_read.zones = current().zones;
    m_graceEndsAt = now + m_returnGrace;
}

void zone_evacuations::apply(const evacuation_record& record)
{
    const auto [newest, isNew] = m_offsets.try_emplace(record.zone, record.offset);
    // The pages of a listing may contain records beyond its end, which are then read again.
    if (!isNew && record.offset <= newest->second)
        return;
    newest->second = record.offset;
    m_keptUntil.erase(record.zone);
    if (record.isEvacuated)
        m_read.zones.insert(record.zone);
    else
        m_read.zones.erase(record.zone);
}

void zone_evacuations::endWithoutRecord(const std::string& zone, monotonic_time now)
{
    if (m_graceEndsAt && now < *m_graceEndsAt) {
        m_keptUntil.insert_or_assign(zone, *m_graceEndsAt);
        return;
    }
    m_read.zones.erase(zone);
    m_keptUntil.erase(zone);
}

} // namespace sagesaddle
