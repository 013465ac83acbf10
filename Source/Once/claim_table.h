#pragma once

#include "Once/claim_record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sagesaddle {

/// \brief The effect of folding one record of a claims stream.
enum class claim_effect {
    /// The claim is the first for its key and holds it now.
    Won,
    /// Another claim holds the key.
    Lost,
    /// The same claim holds the key already.
    Repeated,
    /// The key is free again.
    Released,
    /// No claim changed.
    None,
};

/// \brief The claims in force after a prefix of a claims stream; equal prefixes give equal tables.
///
/// Remembers the latest claims, up to a capacity. Older ones are forgotten; which ones depends on the stream
/// alone, so that all processes agree. No I/O and no clock; not thread-safe.
class claim_table {
public:
    /// \param capacity maximum number of remembered claims
    explicit claim_table(std::size_t capacity);

    /// Folds the next record.
    /// \param offset offset of the record; must be nextOffset()
    /// \throws std::logic_error where it is not
    claim_effect fold(std::uint64_t offset, const claim_record& record);

    /// Advances past a record that cannot be parsed.
    /// \param offset offset of the record; must be nextOffset()
    /// \throws std::logic_error where it is not
    void skip(std::uint64_t offset);

    /// \return the offset of the next record to fold.
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /// \return the id of the claim that holds the key, or nothing where the key is free.
    std::optional<std::string> claimIdOf(const std::string& keyHash) const;

    /// \return the latest time of a forgotten claim, in milliseconds since 1970 by its writer's clock; 0
    /// where
    ///         none was forgotten.
    std::uint64_t forgottenThroughMs() const { return m_forgottenThroughMs; }

    std::size_t size() const { return m_byKey.size(); }

    /// \return the whole table in parts of bounded size, each to be appended as a record.
    std::vector<claim_snapshot_part> snapshot() const;

    /// \param parts all parts of one snapshot, in any order
    /// \return the table that the snapshot describes; its next offset is the snapshot's `through`.
    static claim_table fromSnapshot(std::size_t capacity, const std::vector<claim_snapshot_part>& parts);

    bool operator==(const claim_table& other) const;

private:
    claim_effect addClaim(std::uint64_t offset, const key_claim& claim);
    claim_effect releaseClaim(const claim_release& release);
    void forgetOldest();

    std::size_t m_capacity;
    std::uint64_t m_nextOffset { 0 };
    std::uint64_t m_forgottenThroughMs { 0 };
    // Offsets of the remembered claims by key, and the claims in the order of their offsets.
    std::unordered_map<std::string, std::uint64_t> m_byKey;
    std::map<std::uint64_t, key_claim> m_byOffset;
};

} // namespace sagesaddle
