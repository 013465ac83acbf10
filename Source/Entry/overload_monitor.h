#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace sagesaddle {

/// \brief An overload, as one team sees it: requests refused for one cause, without a long pause between
/// them.
struct team_overload {
    std::string team;
    std::string cause;
    /// Requests refused since the overload began.
    std::uint64_t refusals { 0 };
    monotonic_time startedAt;
    monotonic_time lastRefusal;
};

/// \brief Overloads that began or ended since the previous call of takeChanges().
struct overload_change {
    std::vector<team_overload> began;
    std::vector<team_overload> ended;
};

/// \brief Detects when requests are refused for lack of capacity, by team and cause, and when that ends.
///
/// Reads no clock. Thread-safe.
class overload_monitor {
public:
    /// \param quiet time without a refusal after which an overload counts as ended
    explicit overload_monitor(milliseconds quiet);

    /// A request of the team was refused for lack of capacity.
    void onRefused(const std::string& team, const std::string& cause, monotonic_time now);

    /// \return the overloads that began and those that ended since the previous call.
    overload_change takeChanges(monotonic_time now);

    /// \return the overloads in progress.
    std::vector<team_overload> active() const;

private:
    const milliseconds m_quiet;
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, team_overload> m_overloads;
    std::vector<team_overload> m_began;
};

} // namespace sagesaddle
