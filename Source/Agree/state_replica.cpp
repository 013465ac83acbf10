#include "Agree/state_replica.h"

#include "Record/log_record.h"
#include "Record/record_error.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

constexpr std::size_t maxTailRecords = 1024;
constexpr std::size_t maxTailBytes = 4 * 1024 * 1024;

// Returns the state of a snapshot record, or null for any other text. Searches the text for the kind first,
// since parsing each record twice would double the cost of a fold.
fleet_state_ptr parseSnapshotRecord(const std::string& text)
{
    if (text.find("\"snapshot\"") == std::string::npos)
        return nullptr;
    try {
        const log_record record = parseRecord(text);
        const auto* snapshot = std::get_if<snapshot_record>(&record.body);
        return snapshot ? snapshot->state : nullptr;
    } catch (const record_error&) {
        return nullptr;
    }
}

} // namespace

state_replica::state_replica()
    : m_state(std::make_shared<const fleet_state>())
{
}

std::uint64_t state_replica::nextOffsetToRead() const
{
    return m_isSearchingSnapshot ? m_searchFirstOffset + m_searchedRecords.size() : m_state->nextOffset;
}

bool state_replica::foldRecords(
    std::uint64_t first, const std::vector<std::string>& records, const observer& observe)
{
    const std::uint64_t next = first + records.size();
    const std::uint64_t wanted = nextOffsetToRead();
    if (first > wanted || next <= wanted)
        return false;
    const std::vector<std::string> newRecords(
        records.begin() + static_cast<std::ptrdiff_t>(wanted - first), records.end());
    if (m_isSearchingSnapshot)
        return searchSnapshot(wanted, newRecords, observe);
    foldAll(wanted, newRecords, observe);
    return true;
}

void state_replica::foldAll(
    std::uint64_t first, const std::vector<std::string>& records, const observer& observe)
{
    fold_result result { *m_state, fold_outcome::Accepted, {} };
    std::uint64_t offset = first;
    for (const std::string& text : records) {
        if (const fleet_state_ptr snapshot = parseSnapshotRecord(text);
            snapshot && snapshot->nextOffset <= offset)
            m_snapshotOffset = std::max(m_snapshotOffset, snapshot->nextOffset);
        result = fold(std::move(result.state), offset, text);
        if (observe)
            observe(offset, text, result);
        keepInTail(text);
        ++offset;
    }
    m_state = std::make_shared<const fleet_state>(std::move(result.state));
}

void state_replica::startSnapshotSearch(std::uint64_t earliestOffset)
{
    if (earliestOffset <= m_state->nextOffset)
        return;
    m_isSearchingSnapshot = true;
    m_searchFirstOffset = earliestOffset;
    m_searchedRecords.clear();
}

bool state_replica::searchSnapshot(
    std::uint64_t first, const std::vector<std::string>& records, const observer& observe)
{
    m_searchedRecords.insert(m_searchedRecords.end(), records.begin(), records.end());
    for (std::size_t index = first - m_searchFirstOffset; index < m_searchedRecords.size(); ++index) {
        const fleet_state_ptr snapshot = parseSnapshotRecord(m_searchedRecords[index]);
        // Usable only if every record after the snapshot's state was read: those from its next offset on.
        const bool usable = snapshot && snapshot->nextOffset >= m_searchFirstOffset
            && snapshot->nextOffset <= m_searchFirstOffset + index;
        if (!usable)
            continue;
        const std::vector<std::string> searched = std::exchange(m_searchedRecords, {});
        adoptSnapshot(snapshot);
        foldRecords(m_searchFirstOffset, searched, observe);
        return true;
    }
    return false;
}

bool state_replica::adoptSnapshot(fleet_state_ptr state)
{
    if (!state || state->nextOffset <= m_state->nextOffset)
        return false;
    m_snapshotOffset = std::max(m_snapshotOffset, state->nextOffset);
    m_state = std::move(state);
    m_isSearchingSnapshot = false;
    m_searchedRecords.clear();
    m_tail.clear();
    m_tailBytes = 0;
    return true;
}

bool state_replica::hasRecordsFrom(std::uint64_t from) const
{
    return from >= m_state->nextOffset - m_tail.size();
}

std::vector<std::string> state_replica::recordsFrom(std::uint64_t from, std::size_t maxBytes) const
{
    std::vector<std::string> records;
    const std::uint64_t first = m_state->nextOffset - m_tail.size();
    std::size_t bytes = 0;
    for (std::uint64_t offset = from; offset < m_state->nextOffset; ++offset) {
        const std::string& text = m_tail[offset - first];
        bytes += text.size();
        if (bytes > maxBytes)
            break;
        records.push_back(text);
    }
    return records;
}

void state_replica::keepInTail(const std::string& text)
{
    m_tail.push_back(text);
    m_tailBytes += text.size();
    while (m_tail.size() > maxTailRecords || m_tailBytes > maxTailBytes) {
        m_tailBytes -= m_tail.front().size();
        m_tail.pop_front();
    }
}

} // namespace sagesaddle
