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

/// \brief Stands in for the platform's lagging list of live and leaving hosts.
class fake_hosts {
public:
    fake_hosts();

    void handle(http_call& call);

private:
    struct version {
        monotonic_time since;
        nlohmann::json hosts;
    };

    /// \return the list as it is shown now.
    nlohmann::json shown();

    std::mutex m_mutex;
    std::deque<version> m_versions;
    std::uint32_t m_lagMs { 0 };
    /// How long the state before a change is shown, and then the change, in turns; 0 shows the newest only.
    std::uint32_t m_repeatOldMs { 0 };
};

} // namespace sagesaddle::testing
