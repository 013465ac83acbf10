#pragma once

#include "Base/address.h"
#include "Base/clock.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace sagesaddle {
class http_call;
}

namespace sagesaddle::testing {

/// \brief Fake of the platform's append-only log.
///
/// It can listen on several addresses, so that a test can make it unavailable for the clients of one of them.
class fake_log {
public:
    /// \brief Answers a request to any path of the log.
    /// \param listener address on which the request arrived
    void handle(http_call& call, const address& listener);

private:
    struct stream {
        /// Offset of the oldest record that is kept.
        std::uint64_t earliest { 0 };
        std::deque<std::string> records;

        /// \return the offset of the next record.
        std::uint64_t end() const { return earliest + records.size(); }
    };

    struct faults {
        /// Every read and append is answered with 503.
        bool isUnavailable { false };
        /// Listening addresses whose reads and appends are answered with 503.
        std::set<std::string> unavailableAt;
        std::uint32_t delayMs { 0 };
        /// Number of the next appends that are stored but not answered.
        std::uint32_t loseAnswers { 0 };
        /// Number of records that a stream keeps.
        std::uint64_t retain { 100000 };
        /// Appends over this rate are answered with 429; 0 for no limit.
        double appendsPerSecond { 0 };
    };

    void append(http_call& call, const std::string& name);
    void read(http_call& call, const std::string& name, const address& listener);
    void setFaults(const nlohmann::json& document);
    nlohmann::json stats() const;
    bool isUnavailable(const address& listener) const;
    /// \brief Counts an append against the rate limit, with the mutex held.
    /// \return false where it is over the limit
    bool tryCountAppend(monotonic_time now);
    milliseconds delay();
    static nlohmann::json batchOf(const stream& source, std::uint64_t from, std::uint64_t limit);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, stream> m_streams;
    faults m_faults;
    // Token bucket of the append rate, with a capacity of one second's appends.
    double m_appendTokens { 0 };
    monotonic_time m_appendTokensAt;
    std::uint64_t m_appends { 0 };
    std::uint64_t m_throttled { 0 };
    std::uint64_t m_reads { 0 };
};

} // namespace sagesaddle::testing
