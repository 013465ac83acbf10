#pragma once

#include "Agree/log_client.h"
#include "Record/fleet_state.h"
#include "Record/fold.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A process's copy of the fleet's state, with the records that were last folded into it.
///
/// Records may come from the log and from peers, repeatedly and in any order; each offset is folded once.
/// Where the next records have lapsed, the state continues from a snapshot. Not thread-safe.
class state_replica {
public:
    /// Called with each record as it is folded.
    using observer
        = std::function<void(std::uint64_t offset, const std::string& text, const fold_result& result)>;

    state_replica();

    /// \return the state; a new object after each change.
    const fleet_state_ptr& state() const { return m_state; }

    /// \return the offset of the next record to read.
    std::uint64_t nextOffsetToRead() const;

    /// \return whether records are being searched for a snapshot; the state must not be used meanwhile.
    bool isSearchingSnapshot() const { return m_isSearchingSnapshot; }

    /// \return the offset of the newest snapshot that was seen: the first record that it does not cover.
    std::uint64_t snapshotOffset() const { return m_snapshotOffset; }

    /// Folds the records that are new and follow the state without a gap.
    /// \param first offset of the first record
    /// \return whether the state changed.
    bool foldRecords(
        std::uint64_t first, const std::vector<std::string>& records, const observer& observe = {});

    /// Starts the search for a snapshot, since the records before `earliestOffset` have lapsed. Does nothing
    /// where the state covers these.
    void startSnapshotSearch(std::uint64_t earliestOffset);

    /// Replaces the state by a snapshot's, unless the state is as new.
    /// \return whether it was replaced.
    bool adoptSnapshot(fleet_state_ptr state);

    /// \return whether all records from an offset on are still kept.
    bool hasRecordsFrom(std::uint64_t from) const;

    /// \return the records from an offset on, up to a number of bytes.
    /// \pre hasRecordsFrom(from)
    std::vector<std::string> recordsFrom(std::uint64_t from, std::size_t maxBytes) const;

private:
    void foldAll(std::uint64_t first, const std::vector<std::string>& records, const observer& observe);
    bool searchSnapshot(
        std::uint64_t first, const std::vector<std::string>& records, const observer& observe);
    void keepInTail(const std::string& text);

    fleet_state_ptr m_state;
    std::uint64_t m_snapshotOffset { 0 };

    bool m_isSearchingSnapshot { false };
    std::uint64_t m_searchFirstOffset { 0 };
    std::vector<std::string> m_searchedRecords;

    /// Records below the state's next offset, newest last.
    std::deque<std::string> m_tail;
    std::size_t m_tailBytes { 0 };
};

} // namespace sagesaddle
