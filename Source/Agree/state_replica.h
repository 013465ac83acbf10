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

/// \brief A process's copy of the fleet's state, and the records that it was lately folded from.
///
/// Takes in records from the log and from peers in any order; nothing below the offset that it has
/// reached is taken in again. Where the records that it needs have lapsed it goes on from a snapshot.
/// Holds no lock.
class state_replica {
public:
    /// Told of each record as it is folded.
    using observer
        = std::function<void(std::uint64_t offset, const std::string& text, const fold_result& result)>;

    state_replica();

    /// \return the state; a new object after each change.
    const fleet_state_ptr& state() const { return m_state; }

    /// \return the offset to read from next.
    std::uint64_t nextOffsetToRead() const;

    /// \return whether records are being searched for a snapshot, so that the state is not to be used.
    bool isSearchingSnapshot() const { return m_searching; }

    /// \return the offset of the newest snapshot that was seen: the first record that it leaves out.
    std::uint64_t snapshotOffset() const { return m_snapshotOffset; }

    /// Takes in records, the first at offset `first`.
    /// \return whether the state moved on
    bool foldRecords(
        std::uint64_t first, const std::vector<std::string>& records, const observer& observe = {});

    /// Starts the search for a snapshot, since the records before `earliest` are gone.
    void startSnapshotSearch(std::uint64_t earliest);

    /// Takes a state over from a snapshot, unless the one held is as new.
    /// \return whether it was taken over
    bool adopt(fleet_state_ptr state);

    /// \return whether the records from an offset on are still held.
    bool hasRecordsFrom(std::uint64_t from) const;

    /// \return the records from an offset on, up to a number of bytes.
    std::vector<std::string> recordsFrom(std::uint64_t from, std::size_t mostBytes) const;

private:
    void foldAll(std::uint64_t first, const std::vector<std::string>& records, const observer& observe);
    bool search(std::uint64_t first, const std::vector<std::string>& records, const observer& observe);
    void keep(const std::string& text);

    fleet_state_ptr m_state;
    std::uint64_t m_snapshotOffset { 0 };

    bool m_searching { false };
    std::uint64_t m_searchFirst { 0 };
    std::vector<std::string> m_searched;

    /// Records below the state's next offset, newest last.
    std::deque<std::string> m_tail;
    std::size_t m_tailBytes { 0 };
};

} // namespace sagesaddle
