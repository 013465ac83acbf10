#pragma once

#include "Loop/timer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief Tells when the settings file changed, also where no signal says so.
class settings_watch {
public:
    /// \param file may be away for a while, as when it is replaced
    /// \param onChange is called for each change that is found
    settings_watch(event_loop& loop, std::string file, std::function<void()> onChange);

    /// Looks at once; for a signal, and before something that the settings decide.
    void check();

private:
    /// What tells two states of a file apart without reading it.
    struct file_state {
        std::int64_t modifiedNanoseconds { 0 };
        std::uint64_t inode { 0 };
        std::int64_t bytes { 0 };

        auto operator<=>(const file_state&) const = default;
    };

    std::optional<file_state> readState() const;

    std::string m_file;
    std::function<void()> m_onChange;
    std::optional<file_state> m_lastState;
    timer m_timer;
};

} // namespace sagesaddle
