#pragma once

#include "Base/clock.h"

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sagesaddle::testing {

/// \brief A process of its own, killed and reaped at the end of its scope.
class child_process {
public:
    /// \param command the program's path and its arguments
    /// \param output file that its standard output and error are appended to
    /// \throws std::system_error where it cannot be started
    child_process(const std::vector<std::string>& command, std::filesystem::path output);
    ~child_process();

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    bool isRunning();

    pid_t pid() const { return m_pid; }

    /// Kills it at once and waits for its end.
    void kill();
    /// Stops it where it stands until it is woken.
    void freeze();
    void wake();
    /// Asks it to stop.
    void terminate();

    /// \return its exit code, 128 and the signal's number where a signal ended it, or nothing where it still
    ///         runs after the bound.
    std::optional<int> waitFor(milliseconds bound);

    /// \return all it wrote so far.
    std::string output() const;

private:
    void signal(int number);
    bool reap();

    pid_t m_pid { -1 };
    std::optional<int> m_exitCode;
    std::filesystem::path m_output;
};

} // namespace sagesaddle::testing
