#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sagesaddle {
class http_call;
}

namespace sagesaddle::testing {

/// \brief Fake of the rate-limited weight store. A load is only a wait: no weights are sent.
class fake_store {
public:
    struct limits {
        /// Loads that may start per second, evenly spaced; 0 for no limit.
        double loadsPerSecond { 0 };
        /// Concurrent loads at full speed; a load that starts beside more of them is slower in proportion.
        std::uint32_t maxFullSpeedLoads { 16 };
        /// Duration of a load at full speed.
        std::uint32_t loadMs { 20 };
    };

    explicit fake_store(limits given);

    /// \brief Answers a request to any path of the store.
    void handle(http_call& call);

private:
    /// \brief Counts a load that starts.
    /// \return its duration, from the rate limit and the number of concurrent loads
    milliseconds startLoad(const std::string& model);
    void finishLoad();

    limits m_limits;
    std::mutex m_mutex;
    // Loads are answered with 503.
    bool m_isUnavailable { false };
    std::uint32_t m_delayMs { 0 };
    // Number of the next loads that run but are not answered.
    std::uint32_t m_loseAnswers { 0 };
    std::uint32_t m_running { 0 };
    std::uint32_t m_peakRunning { 0 };
    std::uint64_t m_loads { 0 };
    std::map<std::string, std::uint64_t> m_byModel;
    monotonic_time m_nextStart;
};

} // namespace sagesaddle::testing
