#include "Once/claim_reader.h"

#include <utility>

namespace sagesaddle {

namespace {

std::optional<claim_record> tryParse(const std::string& text)
{
    try {
        return parseClaimRecord(text);
    } catch (const claim_record_error&) {
        return std::nullopt;
    }
}

} // namespace

claim_reader::claim_reader(std::size_t capacity, std::uint64_t earliest)
    : m_capacity(capacity)
    , m_earliest(earliest)
    , m_nextOffset(earliest)
{
    if (earliest == 0)
        m_book.emplace(capacity);
}

std::vector<folded_claim> claim_reader::read(const std::string& text)
{
    kept_record record { m_nextOffset++, tryParse(text) };
    if (record.record && std::holds_alternative<key_claim>(*record.record))
        ++m_claimsSinceSnapshot;
    std::vector<folded_claim> folded;
    const bool wasWhole = isWhole();
    if (wasWhole)
        foldInto(folded, record);
    else
        m_kept.push_back(record);
    if (record.record) {
        if (const auto* part = std::get_if<claim_snapshot_part>(&*record.record))
            noteSnapshotPart(*part);
    }
    if (!wasWhole && isWhole())
        folded = foldKept();
    return folded;
}

void claim_reader::noteSnapshotPart(const claim_snapshot_part& part)
{
    auto& parts = m_parts[part.through];
    parts.insert_or_assign(part.part, part);
    if (parts.size() < part.parts)
        return;
    m_claimsSinceSnapshot = 0;
    if (!isWhole() && part.through >= m_earliest && part.through <= m_nextOffset) {
        std::vector<claim_snapshot_part> whole;
        for (const auto& [index, element] : parts)
            whole.push_back(element);
        m_book = claim_table::fromSnapshot(m_capacity, whole);
    }
    m_parts.erase(m_parts.begin(), m_parts.upper_bound(part.through));
}

std::vector<folded_claim> claim_reader::acceptLoss(std::uint64_t nowMs)
{
    m_book = claim_table::fromSnapshot(m_capacity, { { m_earliest, 0, 1, nowMs, {} } });
    return foldKept();
}

std::vector<folded_claim> claim_reader::foldKept()
{
    std::vector<folded_claim> folded;
    for (const kept_record& kept : std::exchange(m_kept, {})) {
        if (kept.offset >= m_book->nextOffset())
            foldInto(folded, kept);
    }
    return folded;
}

void claim_reader::foldInto(std::vector<folded_claim>& folded, const kept_record& kept)
{
    if (!kept.record) {
        m_book->skip(kept.offset);
        return;
    }
    const claim_effect effect = m_book->fold(kept.offset, *kept.record);
    folded.push_back({ kept.offset, *kept.record, effect });
}

} // namespace sagesaddle
