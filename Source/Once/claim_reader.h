#pragma once

#include "Once/claim_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A record that took part in the book, and what came of it.
struct folded_claim {
    std::uint64_t offset { 0 };
    claim_record record;
    claim_effect effect { claim_effect::None };
};

/// \brief Builds a claim_table out of a claims stream whose first records may have lapsed; pure.
///
/// Where they have, records are kept back until a whole snapshot shows up, and folded upon it.
class claim_reader {
public:
    /// \param capacity how many claims the book remembers
    /// \param earliest first offset that the stream still has
    claim_reader(std::size_t capacity, std::uint64_t earliest);

    /// Takes in the next record.
    /// \return what came of the records that could be folded now, this one included
    std::vector<folded_claim> read(const std::string& text);

    /// \return the offset that is read next.
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /// \return whether the book holds all that its offset promises.
    bool isWhole() const { return m_book.has_value(); }

    /// Goes on without the lapsed claims: all of them count as forgotten.
    /// \param nowMs wall time in milliseconds since 1970; keys made before it are too old from here on
    /// \return what came of the records that were kept back
    std::vector<folded_claim> acceptLoss(std::uint64_t nowMs);

    /// \pre isWhole()
    const claim_table& book() const { return *m_book; }

    /// \return claims folded or read since the last whole snapshot in the stream.
    std::size_t claimsSinceSnapshot() const { return m_claimsSinceSnapshot; }

private:
    struct kept_record {
        std::uint64_t offset { 0 };
        std::optional<claim_record> record;
    };

    void noteSnapshotPart(const claim_snapshot_part& part);
    std::vector<folded_claim> foldKept();
    void foldInto(std::vector<folded_claim>& folded, const kept_record& kept);

    std::size_t m_capacity;
    std::uint64_t m_earliest;
    std::uint64_t m_nextOffset;
    std::size_t m_claimsSinceSnapshot { 0 };
    std::optional<claim_table> m_book;
    std::vector<kept_record> m_kept;
    // Parts of the snapshots that are not whole yet, by offset and part.
    std::map<std::uint64_t, std::map<std::uint32_t, claim_snapshot_part>> m_parts;
};

} // namespace sagesaddle
