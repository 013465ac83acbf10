#pragma once

#include <functional>
#include <string>

namespace sagesaddle {

/// \brief What a daemon says of itself on the command line.
struct program_text {
    std::string name;
    std::string version;
    std::string usage;
};

/// Runs a daemon's main and prints what ends it: its usage, its version, or what was wrong.
/// \param run takes the command line apart with docopt, reads the settings and serves
/// \return the exit code: that of `run`, 0 for help and version, 1 failed, 2 wrong settings or command line
int runProgram(const program_text& text, const std::function<int()>& run);

} // namespace sagesaddle
