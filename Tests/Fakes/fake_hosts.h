#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace sagesaddle {
class http_call;
}

namespace sagesaddle::testing {

/// \brief Fake of the platform's list of live and leaving hosts, which lags behind and can show older states.
class fake_hosts {
public:
    fake_hosts();

    /// \brief Answers a request to any path of the list.
    void handle(http_call& call);

private:
    struct version {
        monotonic_time since;
        nlohmann::json hosts;
    };

    /// \return the list as readers see it now, after the lag and the repetition of the older state.
    nlohmann::json visibleHosts();

    std::mutex m_mutex;
    std::deque<version> m_versions;
    /// Time after which a change becomes visible.
    std::uint32_t m_lagMs { 0 };
    /// Length of the spans in which the state before the newest change and the newest state are shown by
    /// turns; 0 shows only the newest.
    std::uint32_t m_repeatOldMs { 0 };
};

} // namespace sagesaddle::testing
