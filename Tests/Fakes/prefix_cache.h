#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace sagesaddle::testing {

/// \brief The prompt prefixes that a fake engine has cached, and the events about them. Some events come late
///        and some never.
class prefix_cache {
public:
    /// \param capacity largest number of cached prefixes; beyond it the least recently used one is evicted
    explicit prefix_cache(std::size_t capacity);

    /// \brief Uses the prefix of a prompt, and adds it where it is not cached. A prefix is identified by the
    ///        xxHash64, seed 0, of the first 256 bytes of the prompt.
    /// \return whether it was cached
    bool use(std::string_view prompt);

    /// \return the events from a sequence number on, without the newest ones and every seventh.
    nlohmann::json events(std::uint64_t from);

private:
    void addEvent(std::uint64_t prefix, const char* kind);

    std::size_t m_capacity;
    std::mutex m_mutex;
    // Most recently used first.
    std::list<std::uint64_t> m_prefixes;
    std::deque<nlohmann::json> m_events;
    std::uint64_t m_sequence { 0 };
};

} // namespace sagesaddle::testing
