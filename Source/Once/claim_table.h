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

/// \brief What folding one record of a claims stream came to.
enum class claim_effect {
    /// The claim is the first for its key.
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

/// \brief The claims that a prefix of a claims stream amounts to; equal prefixes give equal books.
///
/// Pure. Remembers the latest claims up to a count, so that what is forgotten depends on the log alone.
class claim_table {
public:
    /// \param capacity how many claims are remembered
    explicit claim_table(std::size_t capacity);

    /// Folds the next record.
    /// \param offset its offset; must be nextOffset()
    claim_effect fold(std::uint64_t offset, const claim_record& record);

    /// Passes over a record that cannot be read.
    void skip(std::uint64_t offset);

    std::uint64_t nextOffset() const { return m_nextOffset; }

    /// \return the id of the claim that holds the key, or nothing where the key is free.
    std::optional<std::string> holder(const std::string& keyHash) const;

    /// \return the latest writer's time among the claims that are forgotten; 0 where none is.
    std::uint64_t forgottenThroughMs() const { return m_forgottenThroughMs; }

    std::size_t size() const { return m_byKey.size(); }

    /// \return the whole book in parts of bounded size, each to be appended as a record.
    std::vector<claim_snapshot_part> snapshot() const;

    /// \return the book that a whole snapshot describes; its next offset is the snapshot's `through`.
    /// \param parts all parts of one snapshot, in any order
    static claim_table fromSnapshot(std::size_t capacity, const std::vector<claim_snapshot_part>& parts);

    bool operator==(const claim_table& other) const;

private:
    claim_effect add(std::uint64_t offset, const key_claim& value);
    claim_effect remove(const claim_release& value);
    void forgetOldest();

    std::size_t m_capacity;
    std::uint64_t m_nextOffset { 0 };
    std::uint64_t m_forgottenThroughMs { 0 };
    // Offsets of the remembered claims by key, and the claims in the order of their offsets.
    std::unordered_map<std::string, std::uint64_t> m_byKey;
    std::map<std::uint64_t, key_claim> m_byOffset;
};

} // namespace sagesaddle
