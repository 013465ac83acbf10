#include "Agree/state_replica.h"

#include "Record/log_record.h"
#include "Record/record_error.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

constexpr std::size_t mostTailRecords = 1024;
constexpr std::size_t mostTailBytes = 4 * 1024 * 1024;

// Looks for the kind in the text first, since parsing every record twice would double a fold's cost.
fleet_state_ptr snapshotIn(const std::string& text)
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
    return m_searching ? m_searchFirst + m_searched.size() : m_state->nextOffset;
}

bool state_replica::foldRecords(
    std::uint64_t first, const std::vector<std::string>& records, const observer& observe)
{
    const std::uint64_t next = first + records.size();
    const std::uint64_t held = nextOffsetToRead();
    if (first > held || next <= held)
        return false;
    const std::vector<std::string> fresh(
        records.begin() + static_cast<std::ptrdiff_t>(held - first), records.end());
    if (m_searching)
        return search(held, fresh, observe);
    foldAll(held, fresh, observe);
    return true;
}

void state_replica::foldAll(
    std::uint64_t first, const std::vector<std::string>& records, const observer& observe)
{
    fold_result result { *m_state, fold_outcome::Accepted, {} };
    std::uint64_t offset = first;
    for (const std::string& text : records) {
        if (const fleet_state_ptr snapshot = snapshotIn(text); snapshot && snapshot->nextOffset <= offset)
            m_snapshotOffset = std::max(m_snapshotOffset, snapshot->nextOffset);
        result = fold(std::move(result.state), offset, text);
        if (observe)
            observe(offset, text, result);
        keep(text);
        ++offset;
    }
    m_state = std::make_shared<const fleet_state>(std::move(result.state));
}

void state_replica::startSnapshotSearch(std::uint64_t earliest)
{
    if (earliest <= m_state->nextOffset)
        return;
    m_searching = true;
    m_searchFirst = earliest;
    m_searched.clear();
}

bool state_replica::search(
    std::uint64_t first, const std::vector<std::string>& records, const observer& observe)
{
    m_searched.insert(m_searched.end(), records.begin(), records.end());
    for (std::size_t index = first - m_searchFirst; index < m_searched.size(); ++index) {
        const fleet_state_ptr snapshot = snapshotIn(m_searched[index]);
        const bool usable = snapshot && snapshot->nextOffset >= m_searchFirst
            && snapshot->nextOffset <= m_searchFirst + index;
        if (!usable)
            continue;
        const std::vector<std::string> searched = std::exchange(m_searched, {});
        adopt(snapshot);
        foldRecords(m_searchFirst, searched, observe);
        return true;
    }
    return false;
}

bool state_replica::adopt(fleet_state_ptr state)
{
    if (!state || state->nextOffset <= m_state->nextOffset)
        return false;
    m_snapshotOffset = std::max(m_snapshotOffset, state->nextOffset);
    m_state = std::move(state);
    m_searching = false;
    m_searched.clear();
    m_tail.clear();
    m_tailBytes = 0;
    return true;
}

bool state_replica::hasRecordsFrom(std::uint64_t from) const
{
    return from >= m_state->nextOffset - m_tail.size();
}

std::vector<std::string> state_replica::recordsFrom(std::uint64_t from, std::size_t mostBytes) const
{
    std::vector<std::string> records;
    const std::uint64_t first = m_state->nextOffset - m_tail.size();
    std::size_t bytes = 0;
    for (std::uint64_t offset = from; offset < m_state->nextOffset; ++offset) {
        const std::string& text = m_tail[offset - first];
        bytes += text.size();
        if (bytes > mostBytes)
            break;
        records.push_back(text);
    }
    return records;
}

void state_replica::keep(const std::string& text)
{
    m_tail.push_back(text);
    m_tailBytes += text.size();
    while (m_tail.size() > mostTailRecords || m_tailBytes > mostTailBytes) {
        m_tailBytes -= m_tail.front().size();
        m_tail.pop_front();
    }
}

} // namespace sagesaddle
