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

/// \brief Stands in for the platform's append-only log.
///
/// It may listen on several addresses, so that a test can take the log away from the readers of one of them.
class fake_log {
public:
    void handle(http_call& call, const address& listener);

private:
    struct stream {
        std::uint64_t earliest { 0 };
        std::deque<std::string> records;

        std::uint64_t end() const { return earliest + records.size(); }
    };

    struct faults {
        bool away { false };
        std::set<std::string> awayFor;
        std::uint32_t delayMs { 0 };
        std::uint32_t loseAnswers { 0 };
        std::uint64_t retain { 100000 };
        double appendsPerSecond { 0 };
    };

    void append(http_call& call, const std::string& name);
    void read(http_call& call, const std::string& name, const address& listener);
    void setFaults(const nlohmann::json& document);
    nlohmann::json stats() const;
    bool isAway(const address& listener) const;
    bool takeAppend(monotonic_time now);
    milliseconds delay();
    static nlohmann::json batchOf(const stream& source, std::uint64_t from, std::uint64_t limit);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, stream> m_streams;
    faults m_faults;
    double m_allowance { 0 };
    monotonic_time m_allowanceAt;
    std::uint64_t m_appends { 0 };
    std::uint64_t m_throttled { 0 };
    std::uint64_t m_reads { 0 };
};

} // namespace sagesaddle::testing
