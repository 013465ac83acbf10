#pragma once

#include "Once/claim_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A record that was folded into the claim table, with its effect.
struct folded_claim {
    std::uint64_t offset { 0 };
    claim_record record;
    claim_effect effect { claim_effect::None };
};

/// \brief Builds a claim_table from a claims stream whose first records may have lapsed.
///
/// Where they have, records are buffered until a whole snapshot was read, and then folded into its table.
/// No I/O and no clock; not thread-safe.
class claim_reader {
public:
    /// \param capacity maximum number of claims in the table
    /// \param earliestOffset first offset that the stream still has
    claim_reader(std::size_t capacity, std::uint64_t earliestOffset);

    /// Handles the next record.
    /// \return the records that were folded now: this one, those buffered before it, or none.
    std::vector<folded_claim> read(const std::string& text);

    /// \return the offset of the next record to read.
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /// \return whether there is a table with all claims below its next offset.
    bool isComplete() const { return m_table.has_value(); }

    /// Starts a table without the claims that have lapsed; these count as forgotten.
    /// \param nowMs wall time in milliseconds since 1970; keys made before it are too old from now on
    /// \return the buffered records, which were folded now.
    std::vector<folded_claim> startWithoutSnapshot(std::uint64_t nowMs);

    /// \pre isComplete()
    const claim_table& table() const { return *m_table; }

    /// \return the number of claims read since the last whole snapshot in the stream.
    std::size_t claimsSinceSnapshot() const { return m_claimsSinceSnapshot; }

private:
    struct buffered_record {
        std::uint64_t offset { 0 };
        /// Nothing where the text could not be parsed.
        std::optional<claim_record> record;
    };

    void addSnapshotPart(const claim_snapshot_part& part);
    std::vector<folded_claim> foldBuffered();
    void foldInto(std::vector<folded_claim>& folded, const buffered_record& buffered);

    std::size_t m_capacity;
    std::uint64_t m_earliestOffset;
    std::uint64_t m_nextOffset;
    std::size_t m_claimsSinceSnapshot { 0 };
    std::optional<claim_table> m_table;
    std::vector<buffered_record> m_buffered;
    // Parts of incomplete snapshots, by the snapshot's `through` and the part's number.
    std::map<std::uint64_t, std::map<std::uint32_t, claim_snapshot_part>> m_parts;
};

} // namespace sagesaddle
