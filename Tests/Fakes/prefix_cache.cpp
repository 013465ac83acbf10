#include "Fakes/prefix_cache.h"

#include <algorithm>
#include <xxhash.h>

namespace sagesaddle::testing {

namespace {

constexpr std::size_t prefixBytes = 256;
constexpr std::size_t maxEvents = 1000;
constexpr std::uint64_t omittedEvery = 7;
// An event is visible only once this many events follow it.
constexpr std::uint64_t withheldEvents = 2;

} // namespace

prefix_cache::prefix_cache(std::size_t capacity)
    : m_capacity(capacity)
{
}

bool prefix_cache::use(std::string_view prompt)
{
    const std::string_view head = prompt.substr(0, prefixBytes);
    const std::uint64_t prefix = XXH64(head.data(), head.size(), 0);
    const std::lock_guard lock(m_mutex);
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (found != m_prefixes.end()) {
        m_prefixes.splice(m_prefixes.begin(), m_prefixes, found);
        return true;
    }
    m_prefixes.push_front(prefix);
    addEvent(prefix, "added");
    if (m_prefixes.size() > m_capacity) {
        addEvent(m_prefixes.back(), "evicted");
        m_prefixes.pop_back();
    }
    return false;
}

nlohmann::json prefix_cache::events(std::uint64_t from)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t next = m_sequence > withheldEvents ? m_sequence - withheldEvents + 1 : 1;
    nlohmann::json visibleEvents = nlohmann::json::array();
    for (const auto& event : m_events) {
        const std::uint64_t sequence = event.at("sequence");
        if (sequence >= from && sequence < next && sequence % omittedEvery != 0)
            visibleEvents.push_back(event);
    }
    return { { "next", std::max(from, next) }, { "events", std::move(visibleEvents) } };
}

void prefix_cache::addEvent(std::uint64_t prefix, const char* kind)
{
    m_events.push_back({ { "sequence", ++m_sequence }, { "prefix", prefix }, { "kind", kind } });
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

} // namespace sagesaddle::testing
