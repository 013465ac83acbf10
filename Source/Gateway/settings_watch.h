#pragma once

#include "Loop/timer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief Polls the settings file for changes, so that a reload needs no signal.
class settings_watch {
public:
    /// \param file may be missing for a while, as when it is replaced
    /// \param onChange called once for each change that is found
    settings_watch(event_loop& loop, std::string file, std::function<void()> onChange);

    /// Checks the file at once, for a caller that needs the current settings now.
    void check();

private:
    /// Properties that tell two versions of the file apart without reading it.
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
