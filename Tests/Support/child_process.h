#pragma once

#include "Base/clock.h"

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sagesaddle::testing {

/// \brief A child process; the destructor kills it and waits for its end.
class child_process {
public:
    /// \param command path of the program and its arguments
    /// \param output file to which its standard output and standard error are appended
    /// \throws std::system_error where it cannot be started
    child_process(const std::vector<std::string>& command, std::filesystem::path output);
    ~child_process();

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    bool isRunning();

    pid_t pid() const { return m_pid; }

    /// \brief Sends SIGKILL and waits for the end of the process.
    void kill();
    /// \brief Suspends the process (SIGSTOP) until wake() is called.
    void freeze();
    /// \brief Resumes a process that freeze() suspended (SIGCONT).
    void wake();
    /// \brief Requests an orderly shutdown (SIGTERM).
    void terminate();

    /// \brief Waits for the end of the process.
    /// \return its exit code, or 128 plus the signal number where a signal ended it; nothing where the
    ///         process still runs after the timeout.
    std::optional<int> waitFor(milliseconds timeout);

    /// \return everything that the output file contains so far.
    std::string output() const;

private:
    void signal(int number);
    /// \return whether the process has ended; its exit code is then known.
    bool reap();

    pid_t m_pid { -1 };
    std::optional<int> m_exitCode;
    std::filesystem::path m_output;
};

} // namespace sagesaddle::testing
