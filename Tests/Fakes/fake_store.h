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

/// \brief Stands in for the rate-limited weight store.
class fake_store {
public:
    struct limits {
        double loadsPerSecond { 0 };
        std::uint32_t atOnce { 16 };
        std::uint32_t loadMs { 20 };
    };

    explicit fake_store(limits given);

    void handle(http_call& call);

private:
    /// Counts a load in.
    /// \return how long it takes under the rate and the loads at once
    milliseconds begin(const std::string& model);
    void finish();

    limits m_limits;
    std::mutex m_mutex;
    bool m_away { false };
    std::uint32_t m_delayMs { 0 };
    std::uint32_t m_loseAnswers { 0 };
    std::uint32_t m_running { 0 };
    std::uint32_t m_peakRunning { 0 };
    std::uint64_t m_loads { 0 };
    std::map<std::string, std::uint64_t> m_byModel;
    monotonic_time m_nextStart;
};

} // namespace sagesaddle::testing
