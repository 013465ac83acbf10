#include "Entry/decision_log.h"

#include <utility>

namespace sagesaddle {

decision_log::decision_log(std::size_t capacity)
    : m_capacity(capacity)
{
}

void decision_log::add(decision_record record)
{
    const std::lock_guard lock(m_mutex);
    if (m_records.size() >= m_capacity)
        m_records.pop_front();
    m_records.push_back(std::move(record));
}

std::vector<decision_record> decision_log::find(const std::string& traceId) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<decision_record> found;
    for (const auto& record : m_records) {
        if (record.traceId == traceId)
            found.push_back(record);
    }
    return found;
}

} // namespace sagesaddle
