#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace sagesaddle {

/// \brief One team's refusals for one cause, as an overload in progress.
struct team_overload {
    std::string team;
    std::string cause;
    /// Refusals since it began.
    std::uint64_t refusals { 0 };
    monotonic_time startedAt;
    monotonic_time lastRefusal;
};

/// \brief What changed since the last look.
struct overload_change {
    std::vector<team_overload> began;
    std::vector<team_overload> ended;
};

/// \brief Notices when requests are refused for want of room, by team and cause, and when that ends.
///
/// Its times come in with its events; safe from any thread.
class overload_monitor {
public:
    /// \param quiet time without a refusal after which an overload has ended
    explicit overload_monitor(milliseconds quiet);

    void onRefused(const std::string& team, const std::string& cause, monotonic_time now);

    /// \return what began and what ended since the last call.
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
