#pragma once

#include <functional>
#include <string>

namespace sagesaddle {

/// \brief What a daemon prints about itself for `--help` and `--version`.
struct program_info {
    std::string name;
    std::string version;
    std::string usage;
};

/// Runs the main function of a daemon and turns its exceptions into output and an exit code.
/// \param run parses the command line with docopt, reads the settings and serves until the process is stopped
/// \return the exit code: that of `run`; 0 after the help or the version was printed; 1 if `run` failed; 2 if
/// the settings or the command line are invalid
int runProgram(const program_info& info, const std::function<int()>& run);

} // namespace sagesaddle
