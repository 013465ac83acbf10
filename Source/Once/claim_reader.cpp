#include "Once/claim_reader.h"

#include <utility>

namespace sagesaddle {

namespace {

// Returns nothing where the text cannot be parsed.
std::optional<claim_record> tryParse(const std::string& text)
{
    try {
        return parseClaimRecord(text);
    } catch (const claim_record_error&) {
        return std::nullopt;
    }
}

} // namespace

claim_reader::claim_reader(std::size_t capacity, std::uint64_t earliestOffset)
    : m_capacity(capacity)
    , m_earliestOffset(earliestOffset)
    , m_nextOffset(earliestOffset)
{
    if (earliestOffset == 0)
        m_table.emplace(capacity);
}

std::vector<folded_claim> claim_reader::read(const std::string& text)
{
    buffered_record record { m_nextOffset++, tryParse(text) };
    if (record.record && std::holds_alternative<key_claim>(*record.record))
        ++m_claimsSinceSnapshot;
    std::vector<folded_claim> folded;
    const bool wasComplete = isComplete();
    if (wasComplete)
        foldInto(folded, record);
    else
        m_buffered.push_back(record);
    if (record.record) {
        if (const auto* part = std::get_if<claim_snapshot_part>(&*record.record))
            addSnapshotPart(*part);
    }
    if (!wasComplete && isComplete())
        folded = foldBuffered();
    return folded;
}

void claim_reader::addSnapshotPart(const claim_snapshot_part& part)
{
    auto& parts = m_parts[part.through];
    parts.insert_or_assign(part.part, part);
    if (parts.size() < part.parts)
        return;
    m_claimsSinceSnapshot = 0;
    if (!isComplete() && part.through >= m_earliestOffset && part.through <= m_nextOffset) {
        std::vector<claim_snapshot_part> wholeSnapshot;
        for (const auto& [index, element] : parts)
            wholeSnapshot.push_back(element);
        m_table = claim_table::fromSnapshot(m_capacity, wholeSnapshot);
    }
    // Older snapshots are not needed any more, complete or not.
    m_parts.erase(m_parts.begin(), m_parts.upper_bound(part.through));
}

std::vector<folded_claim> claim_reader::startWithoutSnapshot(std::uint64_t nowMs)
{
    m_table = claim_table::fromSnapshot(m_capacity, { { m_earliestOffset, 0, 1, nowMs, {} } });
    return foldBuffered();
}

std::vector<folded_claim> claim_reader::foldBuffered()
{
    std::vector<folded_claim> folded;
    for (const buffered_record& buffered : std::exchange(m_buffered, {})) {
        if (buffered.offset >= m_table->nextOffset())
            foldInto(folded, buffered);
    }
    return folded;
}

void claim_reader::foldInto(std::vector<folded_claim>& folded, const buffered_record& buffered)
{
    if (!buffered.record) {
        m_table->skip(buffered.offset);
        return;
    }
    const claim_effect effect = m_table->fold(buffered.offset, *buffered.record);
    folded.push_back({ buffered.offset, *buffered.record, effect });
}

} // namespace sagesaddle
