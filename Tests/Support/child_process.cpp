#include "Support/child_process.h"

#include "Base/scope_guard.h"
#include "Support/temp_folder.h"
#include "Support/until.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace sagesaddle::testing {

namespace {

constexpr int signalExitBase = 128;

void throwOnError(int error, const std::string& what)
{
    if (error != 0)
        throw std::system_error(error, std::generic_category(), what);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command, std::filesystem::path output)
    : m_output(std::move(output))
{
    posix_spawn_file_actions_t actions;
    throwOnError(posix_spawn_file_actions_init(&actions), "cannot prepare a child process");
    const scope_guard destroyActions([&actions] { posix_spawn_file_actions_destroy(&actions); });
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    throwOnError(posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_output.c_str(), flags, 0600),
        m_output.string());
    throwOnError(posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO), m_output.string());
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    throwOnError(posix_spawn(&m_pid, command.front().c_str(), &actions, nullptr, arguments.data(), environ),
        "cannot start " + command.front());
}

child_process::~child_process()
{
    kill();
}

bool child_process::isRunning()
{
    return !reap();
}

void child_process::kill()
{
    signal(SIGKILL);
    waitFor(generousBound);
}

void child_process::freeze()
{
    signal(SIGSTOP);
}

void child_process::wake()
{
    signal(SIGCONT);
}

void child_process::terminate()
{
    signal(SIGTERM);
}

std::optional<int> child_process::waitFor(milliseconds timeout)
{
    until([this] { return reap(); }, timeout);
    return m_exitCode;
}

std::string child_process::output() const
{
    return readFile(m_output);
}

void child_process::signal(int number)
{
    if (!reap())
        ::kill(m_pid, number);
}

bool child_process::reap()
{
    if (m_exitCode)
        return true;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
    return true;
}

} // namespace sagesaddle::testing
