#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace sagesaddle::testing {

/// \brief The prompt prefixes that a stand-in engine keeps, and its late, gappy events about them.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t capacity);

    /// Uses a prompt's prefix: xxHash64, seed 0, of its first 256 bytes.
    /// \return whether it was there
    bool use(std::string_view prompt);

    /// \return the events from a sequence number on; every seventh is never told.
    nlohmann::json events(std::uint64_t from);

private:
    void note(std::uint64_t prefix, const char* kind);

    std::size_t m_capacity;
    std::mutex m_mutex;
    // Most recently used first.
    std::list<std::uint64_t> m_prefixes;
    std::deque<nlohmann::json> m_events;
    std::uint64_t m_sequence { 0 };
};

} // namespace sagesaddle::testing
