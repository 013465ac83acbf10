#include "Once/claim_table.h"

#include "Base/overloaded.h"

#include <algorithm>
#include <stdexcept>

namespace sagesaddle {

namespace {

constexpr std::size_t claimsPerSnapshotPart = 2000;

} // namespace

claim_table::claim_table(std::size_t capacity)
    : m_capacity(capacity)
{
}

claim_effect claim_table::fold(std::uint64_t offset, const claim_record& record)
{
    skip(offset);
    return std::visit(overloaded {
                          [&](const key_claim& value) { return addClaim(offset, value); },
                          [&](const claim_release& value) { return releaseClaim(value); },
                          [](const claim_snapshot_part&) { return claim_effect::None; },
                      },
        record);
}

void claim_table::skip(std::uint64_t offset)
{
    if (offset != m_nextOffset)
        throw std::logic_error("claim record at offset " + std::to_string(offset)
            + " folded out of order: offset " + std::to_string(m_nextOffset) + " is next");
    m_nextOffset = offset + 1;
}

claim_effect claim_table::addClaim(std::uint64_t offset, const key_claim& claim)
{
    const auto found = m_byKey.find(claim.keyHash);
    if (found != m_byKey.end())
        return m_byOffset.at(found->second).id == claim.id ? claim_effect::Repeated : claim_effect::Lost;
    m_byKey.emplace(claim.keyHash, offset);
    m_byOffset.emplace(offset, claim);
    if (m_byKey.size() > m_capacity)
        forgetOldest();
    return claim_effect::Won;
}

claim_effect claim_table::releaseClaim(const claim_release& release)
{
    const auto found = m_byKey.find(release.keyHash);
    if (found == m_byKey.end() || m_byOffset.at(found->second).id != release.claimId)
        return claim_effect::None;
    m_byOffset.erase(found->second);
    m_byKey.erase(found);
    return claim_effect::Released;
}

void claim_table::forgetOldest()
{
    const auto oldest = m_byOffset.begin();
    m_forgottenThroughMs = std::max(m_forgottenThroughMs, oldest->second.timeMs);
    m_byKey.erase(oldest->second.keyHash);
    m_byOffset.erase(oldest);
}

std::optional<std::string> claim_table::claimIdOf(const std::string& keyHash) const
{
    const auto found = m_byKey.find(keyHash);
    if (found == m_byKey.end())
        return std::nullopt;
    return m_byOffset.at(found->second).id;
}

std::vector<claim_snapshot_part> claim_table::snapshot() const
{
    const std::size_t count
        = std::max<std::size_t>(1, (m_byOffset.size() + claimsPerSnapshotPart - 1) / claimsPerSnapshotPart);
    std::vector<claim_snapshot_part> parts;
    for (std::size_t i = 0; i < count; ++i)
        parts.push_back({ m_nextOffset, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(count),
            m_forgottenThroughMs, {} });
    std::size_t position = 0;
    for (const auto& [offset, value] : m_byOffset)
        parts[position++ / claimsPerSnapshotPart].claims.push_back(value);
    return parts;
}

claim_table claim_table::fromSnapshot(std::size_t capacity, const std::vector<claim_snapshot_part>& parts)
{
    std::vector<claim_snapshot_part> sorted = parts;
    std::sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) { return a.part < b.part; });
    claim_table table(capacity);
    // A snapshot does not contain the offsets of its claims. Only their order matters: positions are as good.
    std::uint64_t position = 0;
    for (const claim_snapshot_part& part : sorted) {
        for (const key_claim& claim : part.claims)
            table.addClaim(position++, claim);
    }
    table.m_nextOffset = sorted.front().through;
    table.m_forgottenThroughMs = std::max(table.m_forgottenThroughMs, sorted.front().forgottenThroughMs);
    return table;
}

bool claim_table::operator==(const claim_table& other) const
{
    const auto sameClaim = [](const auto& a, const auto& b) { return a.second == b.second; };
    return m_nextOffset == other.m_nextOffset && m_forgottenThroughMs == other.m_forgottenThroughMs
        && std::equal(m_byOffset.begin(), m_byOffset.end(), other.m_byOffset.begin(), other.m_byOffset.end(),
            sameClaim);
}

} // namespace sagesaddle
